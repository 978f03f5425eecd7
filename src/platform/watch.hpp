// The platform's discovery as a farm source: a standing watch, each call following the last at once.
#pragma once

#include "platform/servers.hpp"

namespace amberswitch::platform {

class Watch : public FarmSource {
public:
    Watch(Core& core, Servers& servers, Deadlines& deadlines, wire::Connector& connector,
          std::string address);
    ~Watch() override;

    void known(Time now, const settings::object& list);  // as it was when this process was started
    void watch(Time now) override;
    bool running() const { return running_; }
    std::size_t calls() const { return calls_; }

private:
    class Connection;
    static constexpr std::int64_t kWait = 20'000;             // ms that a call may wait at discovery
    static constexpr Nanos kGrace = std::chrono::seconds(2);  // beyond that nothing will come

    void ask(Time now);
    void answered(Time now, const http::Message& message);
    void lost(Time now);
    void take(Time now, const settings::object& list, bool stale);

    Core& core_;
    Servers& servers_;
    Deadlines& deadlines_;
    wire::Connector& connector_;
    std::string address_;
    std::shared_ptr<Connection> connection_;
    Deadlines::Ticket due_;
    simdjson::dom::parser json_;
    std::int64_t version_ = 0;
    std::size_t calls_ = 0;
    bool running_ = false;
};

}  // namespace amberswitch::platform
