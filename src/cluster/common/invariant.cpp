#include "cluster/common/invariant.hpp"

#include <glog/logging.h>

#include <array>
#include <atomic>
#include <numeric>

#include "cluster/common/metrics_text.hpp"

namespace amberswitch::cluster {
namespace {

constexpr std::size_t kInvariants = static_cast<std::size_t>(Invariant::count_of_invariants);
constexpr std::array<const char*, kInvariants> kNames = {"own_answer_is_taken", "one_run_in_a_grant",
                                                         "grants_are_open", "delivery_follows_configuration",
                                                         "leader_has_newest_term"};
constexpr int kLogIntervalS = 1;

std::array<std::atomic<std::uint64_t>, kInvariants> violations{};

std::size_t indexOf(Invariant invariant) {
    return static_cast<std::size_t>(invariant);
}

}  // namespace

bool checkInvariant(Invariant invariant, bool holds, const std::string& context) {
    if (holds) return true;
    const std::size_t index = indexOf(invariant);
    ++violations.at(index);
    LOG_EVERY_T(ERROR, kLogIntervalS) << "invariant " << kNames.at(index) << " does not hold: " << context;
    return false;
}

std::uint64_t violationsOf(Invariant invariant) {
    return violations.at(indexOf(invariant));
}

std::uint64_t totalInvariantViolations() {
    return std::accumulate(violations.begin(), violations.end(), std::uint64_t{0});
}

void resetInvariantViolations() {
    for (std::atomic<std::uint64_t>& count : violations) count = 0;
}

std::string invariantMetricsText() {
    MetricsText text("invariant_violations_");
    for (std::size_t index = 0; index < kInvariants; ++index)
        text.add(kNames.at(index), violations.at(index));
    return text.take();
}

}  // namespace amberswitch::cluster
