#include "config/reload.hpp"

namespace amberswitch::config {

Reload::Reload(Reader& reader, const Platform& running, platform::Watch& watch, Say say)
    : reader_(reader), listen_(running.listen), watch_(watch), say_(std::move(say)) {}

void Reload::operator()(Time now) {
    Platform next;
    // Guards against a file that is half written or wrong: what runs goes on as it was.
    try {
        next = reader_.read();
    } catch (const std::exception& bad) {
        ++counters_.refused;
        return say_(std::string("reload refused, the old settings stay: ") + bad.what());
    }
    ++counters_.done;
    watch_.move(now, next.discovery);
    say_("reloaded: discovery at " + next.discovery +
         (next.listen == listen_ ? "" : "; field 'listen' waits for the next start"));
}

}  // namespace amberswitch::config
