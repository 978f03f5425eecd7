#include "http/server.hpp"

namespace amberswitch::http {

Server::Server(Deadlines& deadlines, Time now) : deadlines_(deadlines), born_(now) {
    change(now, State::idle);
}

void Server::change(Time now, State to) {
    state_ = to;
    watchdog_.disarm();
    // Guards against peers that fall silent or send byte by byte: each state but the wait for an answer ends
    // by itself, and the first message must be whole within a time that counts from the connect.
    const Time whole = (asked_ ? now : born_) + kWhole;
    if (to == State::idle)
        watchdog_.arm(deadlines_, asked_ ? now + kIdle : whole,
                      [this](Time at) { asked_ || unread() ? shutdown(at) : over(at, End::silent); });
    else if (to == State::reading)
        watchdog_.arm(deadlines_, whole,
                      [this](Time at) { cutOff(at, 408, "the request did not come to its end\n"); });
    else if (to == State::closing)
        watchdog_.arm(deadlines_, now + (shut_ ? kLinger : kTake),
                      [this](Time at) { over(at, End::silent); });
    stateChanged(now, to);
}

void Server::cutOff(Time now, int status, std::string_view body, std::string_view extra) {
    keepAlive_ = false;
    parser_ = Parser(Parser::Kind::request);  // what it held is not wanted any more
    change(now, State::waiting);
    reply(now, status, body, extra);
}

void Server::over(Time now, End how) {
    if (state_ == State::ended) return;
    const bool owed = state_ == State::waiting;
    change(now, State::ended);
    drop();
    if (owed) left(now);
    gone(now, shut_.value_or(how));
}

void Server::closeIdle(Time now, End how) {
    if (state_ != State::idle || unread() || !out().empty()) return shutdown(now);
    over(now, how);
}

void Server::shutdown(Time now, End how) {
    if (state_ != State::idle || unread()) return lastOne();
    shut_ = how;
    change(now, State::closing), wake();
}

void Server::received(Time now) {
    // Guards against a close that is never read, as it comes behind a full buffer: whoever sends that much
    // before the answer gets this answer as the last one, and the rest is read for the close's sake alone.
    if (state_ == State::waiting && (overrun_ || in().space().empty())) {
        overrun_ = true, last_ = true;
        while (!in().empty()) in().taken(in().front().size());
        return;
    }
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
            const int fault = parser_.fault();
            cutOff(now, fault, std::string(reasonOf(fault)) + "\n");
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
        asked_ = true;
        change(now, State::waiting);
        request(now, std::move(message));
    }
    pumping_ = false;
    if (state_ != State::ended) wake();  // there is room again
}

void Server::reply(Time now, int status, std::string_view body, std::string_view extra) {
    if (state_ == State::closing || state_ == State::ended) return;
    const bool keep = keepAlive_ && !last_ && !parting(now);
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
