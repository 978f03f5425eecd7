// A farm source that is asked over HTTP, each call waiting there until something is new. Shared by the
// platform's discovery and Consul.
#pragma once

#include <memory>

#include "core/core.hpp"
#include "http/client.hpp"

namespace amberswitch::platform {

class LongPoll : public FarmSource {
public:
    void watch(Time now) override;  // unless it runs already
    // Its list is told at another address from now on: a new watch begins there at once. What was told holds
    // until then.
    void move(Time now, std::string address);
    bool running() const { return running_; }
    std::size_t calls() const { return calls_; }

protected:
    LongPoll(Core& core, Deadlines& deadlines, wire::Connector& connector, std::string address, Nanos wait,
             Nanos gap);
    ~LongPoll() override;

    virtual std::string target() const = 0;  // path and query of the next call
    virtual std::string headers() const { return {}; }
    virtual bool take(Time now, const http::Message& message) = 0;  // false: it can't be used
    virtual void forgotten() {}                  // the watch is lost: the next call starts a new one
    virtual bool waits() const { return true; }  // the next call may wait there

    Nanos wait() const { return wait_; }
    Core& core_;

private:
    class Connection;
    static constexpr std::size_t kMostList = 4 * 1024 * 1024;
    static constexpr Nanos kGrace = std::chrono::seconds(2);  // beyond the wait: then nothing will come
    // After a move what is new counts as told within seconds: failed calls are repeated sooner than the
    // module asks.
    static constexpr Nanos kHurry = std::chrono::seconds(4), kHurryGap = std::chrono::milliseconds(250);

    void ask(Time now);
    void answered(Time now, const http::Message& message);
    void lost(Time now);

    Deadlines& deadlines_;
    wire::Connector& connector_;
    std::string address_;
    Nanos wait_, gap_;
    std::shared_ptr<Connection> connection_;
    Deadlines::Ticket due_;
    Time hurryUntil_{0};
    std::size_t calls_ = 0;
    bool running_ = false;
};

}  // namespace amberswitch::platform
