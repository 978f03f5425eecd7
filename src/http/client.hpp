// The asking side of one HTTP/1.1 connection: one exchange at a time.
#pragma once

#include "http/message.hpp"
#include "wire/machine.hpp"

namespace amberswitch::http {

class Client : public wire::Machine {
public:
    enum class State { connecting, idle, writing, awaiting, ended };

    explicit Client(std::size_t mostBody = kMostBody) : parser_(Parser::Kind::answer, mostBody) {}

    State state() const { return state_; }
    bool written() const { return state_ == State::awaiting; }
    void ask(std::string_view request);  // while connecting it waits; else the connection must be idle
    void close(Time now, End how);       // gives the exchange up, or an idle connection back

    void opened(Time now) override;
    void received(Time now) override;
    void sent(Time now) override;
    void ended(Time now, End how) override;
    bool finished() const override { return false; }

protected:
    virtual void answered(Time now, Message message, bool reusable) = 0;
    virtual void wroteAll(Time) {}  // the last byte of what was asked may have arrived; once an exchange
    virtual void over(Time now,
                      End how) = 0;  // the connection is gone; how its exchange ended, if it had one

private:
    void finish(Time now, End how);

    Parser parser_;
    State state_ = State::connecting;
    bool asked_ = false;
};

}  // namespace amberswitch::http
