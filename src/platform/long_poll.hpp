// A farm source that is asked over HTTP, each call waiting there until something is new. Shared by the
// platform's discovery and Consul.
#pragma once

#include <memory>

#include "core/core.hpp"
#include "http/client.hpp"
#include "start/turns.hpp"

namespace amberswitch::platform {

class LongPoll : public RosterSource {
public:
    void watch(Time now) override;  // unless it runs already
    void hasten(Time now);          // it does not wait for its turn
    // How calls follow one another.
    struct Pace {
        Nanos wait{0};   // how long a call may wait there
        Nanos grace{0};  // beyond that: then nothing will come
        Nanos gap{0};    // after an answer, before the next call; 0: at once
        // After a call that failed, before the next. 0: whoever asked for the watch is told that it is lost,
        // and says when it begins again.
        Nanos again{0};
    };
    // Its list is told at another address from now on: a new watch begins there at once. What was told holds
    // until then.
    void move(Time now, std::string address);
    bool running() const { return running_; }
    std::size_t calls() const { return calls_; }

protected:
    LongPoll(Core& core, Deadlines& deadlines, wire::Connector& connector, std::string address, Pace pace);
    ~LongPoll() override;

    virtual std::string target() const = 0;  // path and query of the next call
    virtual std::string headers() const { return {}; }
    virtual bool take(Time now, const http::Message& message) = 0;  // false: it can't be used
    // The watch is lost, or its source is at another address: where it begins anew, it does from here.
    virtual void forgotten(bool /* moved */) {}
    virtual bool waits() const { return true; }      // the next call may wait there
    virtual Nanos mostWait() { return pace_.wait; }  // and so long
    // A call failed: when the next is to come, where that is not the pace's or the module's to say.
    virtual std::optional<Time> nextTurn(Time, start::CallFailure, Time /* notBefore */) {
        return std::nullopt;
    }
    // A call was answered with a list. When the next is to come, if not by the pace.
    virtual std::optional<Time> replied(Time, Nanos /* took */, bool /* waited */) { return std::nullopt; }
    virtual Nanos grace() const { return pace_.grace; }  // of the next call

    void begin(Time at);  // the watch runs from now on; its first call is then

    static constexpr Nanos kGrace = std::chrono::seconds(2);
    const Pace& pace() const { return pace_; }
    Nanos wait() const { return wait_; }  // of the call that is put together or out
    Core& core_;

private:
    class Connection;
    static constexpr std::size_t kMostList = 4 * 1024 * 1024;
    static constexpr double kMostAdvice =
        60;  // seconds; a service that says more is asked by then all the same
    // After a move what is new counts as told within seconds: failed calls are repeated sooner than the
    // module asks.
    static constexpr Nanos kHurry = std::chrono::seconds(4), kHurryGap = std::chrono::milliseconds(250);

    void ask(Time now);
    void answered(Time now, const http::Message& message);
    void lost(Time now, start::CallFailure how, Time notBefore = Time(0));

    Deadlines& deadlines_;
    wire::Connector& connector_;
    std::string address_;
    Pace pace_;
    std::shared_ptr<Connection> connection_;
    Deadlines::Timer due_;
    Time hurryUntil_{0};
    std::size_t calls_ = 0;
    Time asked_{0};
    Nanos wait_{0};
    bool running_ = false;
    bool out_ = false;  // a call is
};

}  // namespace amberswitch::platform
