// The last good view on disk, so that a start needn't begin with nothing where Consul is away. Only where the
// operator names a file; the platform has no disk that lasts.
//
// The file: eight bytes of mark, the XXH64 of the rest (little-endian), and the message of state.proto. It is
// written beside its place and renamed, so a reader finds the old one or the new one, whole.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "consul/view.hpp"

namespace amberswitch::consul {

struct Kept {
    std::uint64_t site = 0;
    Time at{0};
    std::map<View::Scope, std::vector<Instance>> scopes;
    bool operator==(const Kept&) const = default;
};

constexpr std::size_t kMostKept = 16 * 1024 * 1024;  // bytes of a file

std::string encode(const Kept& kept);
// None, and `fault` says why, if the bytes are not a whole file of this kind.
std::optional<Kept> decode(std::string_view bytes, std::string& fault);

struct KeepConfig {
    std::string file;  // empty: nothing is kept
    Nanos mostAge = std::chrono::hours(1);
};

class Keeper {
public:
    using Say = std::function<void(const std::string&)>;  // a line for the log
    Keeper(KeepConfig config, std::uint64_t site, Say say)
        : config_(std::move(config)), site_(site), say_(std::move(say)) {}

    bool on() const { return !config_.file.empty(); }
    // What was kept, unless it is torn, foreign, too old or from the future; then a line says which.
    std::optional<Kept> load(Time now);
    void save(Time now, const std::map<View::Scope, std::vector<Instance>>& scopes);

    struct Counters {
        std::uint64_t saved = 0, failed = 0, loaded = 0, refused = 0;
    };
    const Counters& counters() const { return counters_; }

private:
    KeepConfig config_;
    std::uint64_t site_;
    Say say_;
    Counters counters_;
    bool told_ = false;  // that it can't be written
};

}  // namespace amberswitch::consul
