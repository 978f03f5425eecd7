// What is kept on disk between two starts, so that one needn't begin with nothing: one file for one thing.
// Only where the operator names it; the platform has no disk that lasts.
//
// The file: eight bytes of mark, the XXH64 of the rest (little-endian), the site, the time, and the body. It
// is written beside its place and renamed, so a reader finds the old one or the new one, whole.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "heronmount/dispatcher.hpp"

namespace amberswitch::store {

using heronmount::Nanos;
using heronmount::Time;

constexpr std::size_t kMostKept = 16 * 1024 * 1024;  // bytes of a file

struct Sealed {
    std::uint64_t site = 0;  // what is kept means nothing at another site
    Time at{0};              // Unix time
    std::string body;
    bool operator==(const Sealed&) const = default;
};
std::string seal(std::string_view mark, const Sealed& sealed);
// None, and `fault` says why, if the bytes are not a whole file of this kind.
std::optional<Sealed> unseal(std::string_view mark, std::string_view bytes, std::string& fault);

struct KeepConfig {
    std::string file;  // empty: nothing is kept
    Nanos mostAge = std::chrono::hours(1);
};

class Keeper {
public:
    using Say = std::function<void(const std::string&)>;  // a line for the log
    // `what` names it in lines, as "view" in "the kept view is left aside".
    Keeper(KeepConfig config, std::string_view mark, std::uint64_t site, std::string what, Say say)
        : config_(std::move(config)),
          mark_(mark),
          site_(site),
          what_(std::move(what)),
          say_(std::move(say)) {}

    bool on() const { return !config_.file.empty(); }
    // What was kept, unless it is torn, foreign, too old or from the future; then a line says which.
    std::optional<Sealed> load(Time now);
    void refuse(const std::string& why);  // what was loaded can't be used
    void save(Time now, std::string body);

    struct Counters {
        std::uint64_t saved = 0, failed = 0, loaded = 0, refused = 0;
    };
    const Counters& counters() const { return counters_; }

private:
    KeepConfig config_;
    std::string mark_;
    std::uint64_t site_;
    std::string what_;
    Say say_;
    Counters counters_;
    bool told_ = false;  // that it can't be written
};

}  // namespace amberswitch::store
