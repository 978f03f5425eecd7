#include "http/server.hpp"

namespace amberswitch::http {

Server::Server(Deadlines& deadlines, Time now) : deadlines_(deadlines) {
    change(now, State::idle);
}

void Server::change(Time now, State to) {
    state_ = to;
    watchdog_.disarm();
    // Guards against peers that fall silent: each state but the wait for an answer ends by itself.
    if (to == State::idle)
        watchdog_.arm(deadlines_, now + kIdle, [this](Time at) { over(at, End::idle); });
    else if (to == State::reading)
        watchdog_.arm(deadlines_, now + kHalf, [this](Time at) {
            keepAlive_ = false;
            reply(at, 408, "the request did not come to its end\n");
        });
    else if (to == State::closing)
        watchdog_.arm(deadlines_, now + kHalf, [this](Time at) { over(at, End::silent); });
    stateChanged(now, to);
}

void Server::over(Time now, End how) {
    if (state_ == State::ended) return;
    const bool owed = state_ == State::waiting;
    change(now, State::ended);
    drop();
    if (owed) left(now);
    gone(now, how);
}

void Server::closeIdle(Time now, End how) {
    if (state_ != State::idle) return lastOne();
    if (!out().empty()) return change(now, State::closing), wake();
    over(now, how);
}

void Server::received(Time now) {
    pump(now);
}

void Server::sent(Time now) {
    if (in().empty() || state_ == State::waiting) return;
    pump(now);
}

void Server::pump(Time now) {
    if (pumping_) return;
    pumping_ = true;
    // Guards against pipelined requests whose answers nobody reads: no more is taken while much waits.
    while ((state_ == State::idle || state_ == State::reading) && !in().empty() &&
           out().size() <= kMostBody) {
        const auto bytes = in().front();
        const bool asked = parser_.wantsContinue();
        in().taken(parser_.feed({bytes.data(), bytes.size()}));
        if (parser_.bad()) {
            keepAlive_ = false;
            const int fault = parser_.fault();
            change(now, State::waiting);
            reply(now, fault, std::string(reasonOf(fault)) + "\n");
            break;
        }
        if (!parser_.complete()) {
            if (state_ == State::idle && parser_.started()) change(now, State::reading);
            if (!asked && parser_.wantsContinue() && parser_.state() != Parser::State::head)
                out().put("HTTP/1.1 100 Continue\r\n\r\n"), wake();
            continue;
        }
        Message message = parser_.take();
        keepAlive_ = message.keepAlive;
        change(now, State::waiting);
        request(now, std::move(message));
    }
    pumping_ = false;
    if (state_ != State::ended) wake();  // there is room again
}

void Server::reply(Time now, int status, std::string_view body, std::string_view extra) {
    if (state_ == State::closing || state_ == State::ended) return;
    const bool keep = keepAlive_ && !last_;
    out().put(answer(status, body, keep, extra));
    change(now, keep ? State::idle : State::closing);
    wake();
    if (keep && !in().empty()) pump(now);
}

void Server::ended(Time now, End how) {
    if (state_ == State::reading) how = End::silent;
    over(now, how);
}

}  // namespace amberswitch::http
