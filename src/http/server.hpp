// The answering side of one HTTP/1.1 connection.
#pragma once

#include <optional>

#include "http/message.hpp"
#include "wire/machine.hpp"

namespace amberswitch::http {

class Server : public wire::Machine {
public:
    enum class State { idle, reading, waiting, closing, ended };

    explicit Server(Deadlines& deadlines, Time now);

    State state() const { return state_; }
    Time born() const { return born_; }
    std::size_t held() const { return state_ == State::reading ? parser_.held() : 0; }
    // Ends a message that is being read with an answer, as when there is no room for it.
    void cutOff(Time now, int status, std::string_view body, std::string_view extra = {});
    void reply(Time now, int status, std::string_view body, std::string_view extra = {});
    void lastOne() { last_ = true; }                // the next answer says that the connection closes
    void closeIdle(Time now, End how = End::idle);  // only between messages; otherwise after the answer
    // The same, but the other side is let finish: what it sends meanwhile is read and not served, for
    // kLinger at the most.
    void shutdown(Time now, End how = End::idle);
    static constexpr Nanos kLinger = std::chrono::seconds(1);
    void close(Time now, End how) { over(now, how); }  // at once, whatever is owed
    // Nothing is read of it, owed to it or written to it: it can be closed without anybody's loss.
    bool rests() const { return state_ == State::idle && out().empty() && !unread(); }

    void received(Time now) override;
    void sent(Time now) override;
    void ended(Time now, End how) override;
    bool finished() const override { return state_ == State::closing; }

protected:
    virtual void request(Time now, Message message) = 0;
    virtual void stateChanged(Time, State) {}
    virtual bool parting(Time) const { return false; }  // asked at each answer: is it to be the last?
    virtual void left(Time) {}                          // the other side went while an answer was owed
    virtual void gone(Time, End) {}                     // the connection is over: the last call

private:
    // To complete a message: the first one from the connect on, others from their first byte.
    static constexpr Nanos kWhole = std::chrono::milliseconds(2500);
    static constexpr Nanos kTake = std::chrono::seconds(5);  // to take the last answer
    static constexpr Nanos kIdle = std::chrono::seconds(75);

    void pump(Time now);
    void change(Time now, State to);
    void over(Time now, End how);

    Deadlines& deadlines_;
    Deadlines::Timer watchdog_;
    Parser parser_{Parser::Kind::request};
    State state_ = State::idle;
    Time born_;
    bool asked_ = false;  // a whole message has come
    bool pumping_ = false, last_ = false, keepAlive_ = true;
    std::optional<End> shut_;  // this side has shut it down, between messages
    bool overrun_ = false;     // more came behind a request than is kept: nothing more of it is served
};

}  // namespace amberswitch::http
