// The operator's HTTP interface: Config.Replace, Config.Read, Retire.Start, Retire.Read and status.
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

// The largest body of a call to the control address. Compressed to an eighth, a configuration of this size
// still goes to the four other core machines within one round of the register (0.4 s) on a link of 86 Mbit/s.
inline constexpr std::size_t kMaxOperatorBodyBytes = 8 * 1024 * 1024;

// What became of a change of the configuration at its last decision.
enum class ReplaceVerdict : std::uint8_t {
    taken,
    other_base,          // surely not taken, now or before
    generation_too_low,  // not above its own base: never valid
    forgotten,           // so old that it may be a taken one that is not remembered any more
    too_large,           // even compressed
    unreadable           // the register's value is
};

// How many taken changes a state remembers, each with 24 bytes of every value that is written.
inline constexpr std::size_t kTakenKept = 512;

// The newest generation that may have been taken without being remembered. Each change builds on the one
// before it, so the base of the oldest that is remembered is the newest that is not. 0: all are remembered.
std::int64_t newestForgotten(const ConfigurationState& state);

// The state after `change` is applied to `current`, with the verdict; a change that was taken before leaves
// the state as it is. A refusal is certain: generations only rise, so a change above the newest forgotten one
// was taken only if it is remembered, and one on another base than the current never will be.
struct ReplaceDecision {
    ReplaceVerdict verdict = ReplaceVerdict::taken;
    bool write = false;
    ConfigurationState next;  // only where write
};
ReplaceDecision decideReplace(const ConfigurationState& current, const AcceptedChange& change,
                              const std::string& body);

class OperatorApi {
public:
    struct Hooks {
        std::function<std::string()> status;                    // JSON
        std::function<bool(const std::string& name)> is_store;  // a storage machine that is known
    };

    OperatorApi(RegisterProposer& proposer, Hooks hooks);

    void handle(const HttpRequest& request, HttpResponder respond);

private:
    void replaceConfiguration(const HttpRequest& request, HttpResponder respond);
    void proposeConfiguration(const AcceptedChange& change, std::string body, HttpResponder respond);
    void readNewest(HttpResponder respond);
    // Orders through the register that the leader empties the store; a repeat is answered as the first order.
    void startRetirement(const std::string& node, HttpResponder respond);
    void readRetirement(const std::string& node, HttpResponder respond);

    RegisterProposer& proposer_;
    Hooks hooks_;
    Lifetime lifetime_;
};

}  // namespace amberswitch::cluster
