#include "config/reload.hpp"

namespace amberswitch::config {

Reload::Reload(Reader& reader, const Platform& running, const Operator& own, platform::Watch& watch, Say say,
               Take take)
    : reader_(reader),
      site_(running.site),
      listen_(running.listen),
      control_(running.control),
      gearmanListen_(own.gearman.listen),
      grpcListen_(own.grpc.listen),
      consulAddress_(own.consul.address),
      placement_(own.placement.digest),
      watch_(watch),
      say_(std::move(say)),
      take_(std::move(take)) {}

void Reload::operator()(Time now) {
    Platform next;
    Operator own;
    // Guards against files that are half written or wrong: what runs goes on as it was.
    try {
        next = reader_.read();
        own = readOperator(site_);
    } catch (const std::exception& bad) {
        ++counters_.refused;
        return say_(std::string("reload refused, the old settings stay: ") + bad.what());
    }
    ++counters_.done;
    watch_.move(now, next.discovery);
    if (take_) take_(now, own);
    std::string waits;
    const auto changed = [&waits](const char* field, const std::string& was, const std::string& is) {
        if (was != is) waits += std::string("; field '") + field + "' waits for the next start";
    };
    changed("listen", listen_, next.listen);
    changed("operator", control_, next.control);
    changed("gearman.listen", gearmanListen_, own.gearman.listen);
    changed("grpc.listen", grpcListen_, own.grpc.listen);
    changed("consul.address", consulAddress_, own.consul.address);
    changed("placement", std::to_string(placement_), std::to_string(own.placement.digest));
    say_("reloaded: discovery at " + next.discovery + waits);
}

}  // namespace amberswitch::config
