// The answering side of one HTTP/1.1 connection.
#pragma once

#include "http/message.hpp"
#include "wire/machine.hpp"

namespace amberswitch::http {

class Server : public wire::Machine {
public:
    enum class State { idle, reading, waiting, closing, ended };

    explicit Server(Deadlines& deadlines, Time now);

    State state() const { return state_; }
    void reply(Time now, int status, std::string_view body, std::string_view extra = {});
    void lastOne() { last_ = true; }                // the next answer says that the connection closes
    void closeIdle(Time now, End how = End::idle);  // only between messages; otherwise after the answer

    void received(Time now) override;
    void sent(Time now) override;
    void ended(Time now, End how) override;
    bool finished() const override { return state_ == State::closing; }

protected:
    virtual void request(Time now, Message message) = 0;
    virtual void stateChanged(Time, State) {}
    virtual void left(Time) {}       // the other side went while an answer was owed
    virtual void gone(Time, End) {}  // the connection is over: the last call

private:
    static constexpr Nanos kHalf = std::chrono::seconds(10);  // to complete a message, or to take an answer
    static constexpr Nanos kIdle = std::chrono::seconds(75);

    void pump(Time now);
    void change(Time now, State to);
    void over(Time now, End how);

    Deadlines& deadlines_;
    Deadlines::Ticket watchdog_;
    Parser parser_{Parser::Kind::request};
    State state_ = State::idle;
    bool pumping_ = false, last_ = false, keepAlive_ = true;
};

}  // namespace amberswitch::http
