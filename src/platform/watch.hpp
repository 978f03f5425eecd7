// The platform's discovery as a farm source: a standing watch, each call following the last at once.
#pragma once

#include "platform/long_poll.hpp"
#include "platform/servers.hpp"

namespace amberswitch::platform {

class Watch : public LongPoll {
public:
    Watch(Core& core, Servers& servers, Deadlines& deadlines, wire::Connector& connector,
          std::string address);

    void known(Time now, const settings::object& list);  // as it was when this process was started

private:
    std::string target() const override;
    bool waits() const override { return version_.has_value(); }
    void forgotten() override { version_.reset(); }
    bool take(Time now, const http::Message& message) override;
    void take(Time now, const settings::object& list, bool stale);

    Servers& servers_;
    simdjson::dom::parser json_;
    std::optional<std::int64_t> version_;  // none: the whole list comes first
};

}  // namespace amberswitch::platform
