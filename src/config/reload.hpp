// SIGHUP: the platform's file and the operator file are read again while all goes on, both or neither.
// Discovery's new address is taken at once, and so are the gRPC routes and job servers; the rest waits for
// the next start.
#pragma once

#include <functional>

#include "config/config.hpp"
#include "config/operator.hpp"
#include "platform/watch.hpp"

namespace amberswitch::config {

class Reload {
public:
    using Say = std::function<void(const std::string&)>;      // a line for the log
    using Take = std::function<void(Time, const Operator&)>;  // what the parts take of the operator file
    Reload(Reader& reader, const Platform& running, const Operator& own, platform::Watch& watch, Say say,
           Take take = {});

    void operator()(Time now);

    struct Counters {
        std::uint64_t done = 0, refused = 0;
    };
    const Counters& counters() const { return counters_; }

private:
    Reader& reader_;
    const settings::Site site_;  // of the start: classes, tenants and zones stay
    const std::string listen_, control_, gearmanListen_, grpcListen_, consulAddress_;
    std::uint64_t placement_;
    platform::Watch& watch_;
    Say say_;
    Take take_;
    Counters counters_;
};

}  // namespace amberswitch::config
