// The operators' HTTP API: Config.Replace, Config.Read, Retire.Start, Retire.Read and status.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

#include "cluster/common/http.hpp"
#include "cluster/common/messages.hpp"
#include "cluster/control/lifetime.hpp"
#include "cluster/control/register_proposer.hpp"

namespace amberswitch::cluster {

// The maximum body size of a call to the control address. Compressed to an eighth, a configuration of this
// size is still sent to the four other core machines within one round of the register (0.4 s) on a link of 86
// Mbit/s.
inline constexpr std::size_t kMaxOperatorBodyBytes = 8 * 1024 * 1024;

// Result of a configuration change when the register last decided on it.
enum class ReplaceVerdict : std::uint8_t {
    taken,
    other_base,          // certainly not applied, neither now nor earlier
    generation_too_low,  // not above its base: never valid
    forgotten,  // so old that it may have been applied and since dropped from the list of taken changes
    too_large,  // even compressed
    unreadable  // the register's value can't be decoded
};

// Maximum number of taken changes in a state. Each one adds 24 bytes to every value that is written.
inline constexpr std::size_t kMaxTakenChanges = 512;

// The newest generation that was dropped from the list of taken changes. Each change builds on the previous
// one, so it is the base of the oldest change in the list. 0 if no change has been dropped.
std::int64_t newestForgotten(const ConfigurationState& state);

// Applies `change` to `current`. A change that was taken earlier leaves the state unchanged. A rejection is
// final: generations only increase, so a change above the newest forgotten one was taken only if it is in the
// list, and one whose base is not the current generation can never be taken.
struct ReplaceDecision {
    ReplaceVerdict verdict = ReplaceVerdict::taken;
    bool write = false;
    ConfigurationState next;  // only if `write`
};
ReplaceDecision decideReplace(const ConfigurationState& current, const AcceptedChange& change,
                              const std::string& body);

// Handles requests to the control address. Calls that change or read the register respond 503 without a
// quorum.
class OperatorApi {
public:
    struct Hooks {
        std::function<std::string()> status;                    // JSON
        std::function<bool(const std::string& name)> is_store;  // the name of a known store
    };

    OperatorApi(RegisterProposer& proposer, Hooks hooks);

    void handle(const HttpRequest& request, HttpResponder respond);

private:
    void replaceConfiguration(const HttpRequest& request, HttpResponder respond);
    void proposeConfiguration(const AcceptedChange& change, std::string body, HttpResponder respond);
    void readNewest(HttpResponder respond);
    // Records the retirement order in the store view, for the leader to carry out. A repeated order gets the
    // same response as the first.
    void startRetirement(const std::string& node, HttpResponder respond);
    void readRetirement(const std::string& node, HttpResponder respond);

    RegisterProposer& proposer_;
    Hooks hooks_;
    Lifetime lifetime_;
};

}  // namespace amberswitch::cluster
