// SIGHUP: the platform's file is read again while all goes on. Discovery's new address is taken at once; the
// farm, the transactions and the connections stay as they are.
#pragma once

#include <functional>

#include "config/config.hpp"
#include "platform/watch.hpp"

namespace amberswitch::config {

class Reload {
public:
    using Say = std::function<void(const std::string&)>;  // a line for the log
    Reload(Reader& reader, const Platform& running, platform::Watch& watch, Say say);

    void operator()(Time now);

    struct Counters {
        std::uint64_t done = 0, refused = 0;
    };
    const Counters& counters() const { return counters_; }

private:
    Reader& reader_;
    std::string listen_;
    platform::Watch& watch_;
    Say say_;
    Counters counters_;
};

}  // namespace amberswitch::config
