#include "cluster/control/voter_recovery.hpp"

#include <glog/logging.h>

#include <array>
#include <utility>

#include "cluster/common/codec.hpp"
#include "cluster/common/typed_call.hpp"
#include "cluster/control/register_values.hpp"

namespace amberswitch::cluster {
namespace {

constexpr Millis kRetryInterval{200};
constexpr Millis kReadVotersTimeout{400};
constexpr Millis kRecoverKeyTimeout{3000};
const std::array<std::string, 3> kKeys{kVotersKey, kConfigKey, kViewKey};

}  // namespace

VoterRecovery::VoterRecovery(Scheduler& scheduler, Transport& transport, RegisterVoter& voter,
                             RegisterProposer& proposer, std::string name, PeersFunction peers)
    : scheduler_(scheduler),
      transport_(transport),
      voter_(voter),
      proposer_(proposer),
      name_(std::move(name)),
      peers_(std::move(peers)) {}

void VoterRecovery::start() {
    step();
}

void VoterRecovery::step() {
    timer_.reset();
    if (!voter_.needsRecovery()) return;
    if (!voter_.isDiskHealthy()) return scheduleRetry();
    if (voter_.voters().empty()) return requestVoters();
    if (voter_.voterSet().version != voters_version_) recovered_.clear();
    voters_version_ = voter_.voterSet().version;
    recoverNextKey();
}

void VoterRecovery::scheduleRetry() {
    timer_ = scheduler_.after(kRetryInterval, [this] { step(); });
}

void VoterRecovery::requestVoters() {
    for (const NodeAddress& peer : peers_()) {
        const auto done = [this](const std::optional<ReadVotersReply>& reply) {
            if (reply) onVotersReceived(reply->voters);
        };
        callFor<ReadVotersReply>(transport_, peer, kReadVoters, ReadVotersRequest{name_}, kReadVotersTimeout,
                                 lifetime_.guard(done));
    }
    scheduleRetry();
}

// Recovery continues at once with the first voters received; if they are outdated, their replies contain
// newer ones.
void VoterRecovery::onVotersReceived(const VoterSet& voters) {
    const bool had_none = voter_.voters().empty();
    voter_.learnVoters(voters);
    if (had_none && !voter_.voters().empty()) step();
}

void VoterRecovery::recoverNextKey() {
    if (recovered_.size() == kKeys.size()) return storeRecovered();
    const std::string& key = kKeys[recovered_.size()];
    const auto keep = [](const std::string&) { return Decision::keep(); };
    const auto done = [this, key](ChangeOutcome outcome) { onKeyRecovered(key, std::move(outcome)); };
    const ChangeOptions options{
        .timeout = kRecoverKeyTimeout, .recovery = true, .voters_version = voters_version_};
    proposer_.change(key, keep, options, lifetime_.guard(done));
}

void VoterRecovery::onKeyRecovered(const std::string& key, ChangeOutcome outcome) {
    // The voters known here may no longer exist.
    if (!outcome.known) return requestVoters();
    if (key == kVotersKey) {
        const std::optional<VoterSet> newest = readVoterSet(outcome.value);
        // The current voter set is unknown, so it is unknown whether a majority of it was asked.
        if (!newest) return requestVoters();
        voter_.learnVoters(*newest);
    }
    if (voter_.voterSet().version != voters_version_) return step();
    recovered_.push_back({key, outcome.ballot, std::move(outcome.value)});
    recoverNextKey();
}

void VoterRecovery::storeRecovered() {
    voter_.recover(recovered_, lifetime_.guard([this](bool stored) {
        if (!stored) return scheduleRetry();
        LOG(INFO) << "register recovered from the other voters; this machine can vote";
        if (on_recovered_) on_recovered_();
    }));
}

}  // namespace amberswitch::cluster
