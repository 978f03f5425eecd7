#include "http/client.hpp"

namespace amberswitch::http {

void Client::ask(std::string_view request) {
    asked_ = true;
    out().put(request);
    if (state_ != State::idle) return;
    state_ = State::writing;
    wake();
}

void Client::opened(Time) {
    state_ = asked_ ? State::writing : State::idle;
    wake();
}

void Client::sent(Time now) {
    if (state_ != State::writing || !out().empty()) return;
    state_ = State::awaiting;
    wroteAll(now);
}

void Client::received(Time now) {
    while (!in().empty() && state_ != State::ended) {
        // Guards against bytes that answer nothing: the next exchange would take them for its own.
        if (state_ == State::idle) return finish(now, End::malformed);
        const auto bytes = in().front();
        in().taken(parser_.feed({bytes.data(), bytes.size()}));
        if (parser_.bad()) return finish(now, End::malformed);
        if (!parser_.complete()) continue;
        Message message = parser_.take();
        const bool whole =
            state_ == State::awaiting;  // an answer before the request's end ends the connection
        const bool reusable = message.keepAlive && whole && in().empty();
        asked_ = false;
        state_ = reusable ? State::idle : State::ended;
        if (!reusable) drop();
        answered(now, std::move(message), reusable);
        if (!reusable) return over(now, End::peerClosed);
    }
}

void Client::ended(Time now, End how) {
    if (state_ == State::ended) return;
    if (state_ == State::awaiting) {
        parser_.closed();
        if (parser_.complete()) {
            state_ = State::ended;
            answered(now, parser_.take(), false);
            return over(now, how);
        }
    }
    finish(now, how);
}

void Client::close(Time now, End how) {
    if (state_ != State::ended) finish(now, how);
}

void Client::finish(Time now, End how) {
    State was = std::exchange(state_, State::ended);
    // Guards against a break that is heard of before the write it follows: the last byte may have arrived.
    if (was == State::writing && out().lent() == out().size()) was = State::awaiting, wroteAll(now);
    drop();
    const bool broke = how == End::peerClosed || how == End::peerReset || how == End::malformed;
    if (asked_ && broke && was == State::writing) how = End::brokeUnsent;
    if (asked_ && broke && was == State::awaiting) how = End::brokeSent;
    if (asked_ && broke && was == State::connecting) how = End::connectRefused;
    over(now, how);
}

}  // namespace amberswitch::http
