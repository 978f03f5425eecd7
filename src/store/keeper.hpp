// State that is kept on disk between starts, one file for each kind. It is used only if the operator names a
// file, since the platform has no persistent disk.
//
// Format: eight bytes of magic number, the XXH64 of the rest (little-endian), the site, the time, and the
// body. The file is written under a temporary name and renamed, so a reader finds either the old or the new
// one, complete.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "heronmount/dispatcher.hpp"

namespace amberswitch::store {

using heronmount::Nanos;
using heronmount::Time;

constexpr std::size_t kMaxFileBytes = 16 * 1024 * 1024;  // bytes of a file

struct StoredState {
    std::uint64_t site = 0;  // the file is valid only at the same site
    Time at{0};              // Unix time
    std::string body;
    bool operator==(const StoredState&) const = default;
};
std::string encodeState(std::string_view magic, const StoredState& state);
// Returns nothing and sets `fault` to the reason if the bytes are not a complete file of this kind.
std::optional<StoredState> decodeState(std::string_view magic, std::string_view bytes, std::string& fault);

struct StateFileConfig {
    std::string file;  // empty: disabled
    Nanos maxAge = std::chrono::hours(1);
};

class StateFile {
public:
    using Log = std::function<void(const std::string&)>;  // a line for the log
    // `what` names the state in log lines, as "view" in "the kept view is left aside".
    StateFile(StateFileConfig config, std::string_view magic, std::uint64_t site, std::string what, Log log)
        : config_(std::move(config)),
          magic_(magic),
          site_(site),
          what_(std::move(what)),
          log_(std::move(log)) {}

    bool on() const { return !config_.file.empty(); }
    // Returns the stored state. Logs the reason and returns nothing if it is torn, of another site, too old
    // or from the future. Returns nothing without a log line if there is no file.
    std::optional<StoredState> load(Time now);
    void refuse(const std::string& why);  // logs that the loaded state is unusable
    void save(Time now, std::string body);

    struct Counters {
        std::uint64_t saved = 0, failed = 0, loaded = 0, refused = 0;
    };
    const Counters& counters() const { return counters_; }

private:
    StateFileConfig config_;
    std::string magic_;
    std::uint64_t site_;
    std::string what_;
    Log log_;
    Counters counters_;
    bool failureLogged_ = false;  // a failure to write was logged
};

}  // namespace amberswitch::store
