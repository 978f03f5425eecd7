// Consul as a second farm source: the instances of one service, by its health API (or its catalogue, which
// knows no health), with blocking queries. The instances speak the platform's protocol.
#pragma once

#include "consul/keep.hpp"
#include "platform/long_poll.hpp"
#include "platform/servers.hpp"
#include "settings/strict.hpp"

namespace amberswitch::platform {

struct ConsulConfig {
    std::string address;  // of the agent; empty: the source is off
    std::string service, token, datacenter;
    bool health = true;  // else the catalogue
    Nanos wait = std::chrono::seconds(30);
    consul::HoldDown hold;
    consul::StateFileConfig keep;
};
ConsulConfig readConsul(const settings::Node& section);  // throws settings::BadField

class Consul : public LongPoll {
public:
    Consul(
        Core& core, Servers& servers, Deadlines& deadlines, wire::Connector& connector, ConsulConfig config,
        consul::Keeper::Say say = [](const std::string&) {});

    void begin(Time now);  // with the view that was kept, if there is one: as stale
    void end(Time now);    // keeps the newest
    const consul::Keeper& keeper() const { return keeper_; }

    const consul::View& view() const { return view_; }

private:
    std::string target() const override;
    std::string headers() const override;
    bool take(Time now, const http::Message& message) override;
    void forgotten(bool) override { index_ = 0, lost_ = true; }
    bool readInstance(const settings::object& from, consul::Instance& out) const;
    void tell(Time now, const consul::View::Changes& changes,
              heronmount::RosterMode mode = heronmount::RosterMode::incremental);

    Servers& servers_;
    ConsulConfig config_;
    simdjson::dom::parser json_;
    std::uint64_t index_ = 0;
    bool lost_ = false;  // the module was told so
    consul::View view_;
    Deadlines& deadlines_;
    consul::Keeper keeper_;
    Deadlines::Timer heldDown_, keep_;
    static constexpr Nanos kKeepEvery = std::chrono::seconds(1);
};

}  // namespace amberswitch::platform
