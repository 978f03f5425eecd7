#include "cluster/control/voter_set_manager.hpp"

#include <glog/logging.h>

#include <algorithm>
#include <array>
#include <utility>

#include "cluster/common/codec.hpp"
#include "cluster/common/typed_call.hpp"
#include "cluster/control/lease_times.hpp"
#include "cluster/control/register_values.hpp"

namespace amberswitch::cluster {
namespace {

constexpr Millis kCheckInterval{250};
constexpr Millis kQueryInterval{1000};
constexpr Millis kQueryTimeout{400};
constexpr Millis kRoundTimeout{1500};
// A longer time between two evaluations means that this process itself was paused.
constexpr Millis kProcessPauseThreshold{600};
const std::array<std::string, 3> kRegisterKeys{kVotersKey, kConfigKey, kViewKey};

Decision keepValue(const std::string&) {
    return Decision::keep();
}

// Replaces `base` by `next`; keeps any other value.
Decision decideVoters(const std::string& current, const VoterSet& base, const VoterSet& next) {
    const std::optional<VoterSet> found = current.empty() ? base : readVoterSet(current);
    if (!found || *found != base) return Decision::keep();
    if (current.empty() && base.version != 0) return Decision::keep();
    return Decision::replaceBy(encode(next));
}

}  // namespace

VoterSetManager::VoterSetManager(Scheduler& scheduler, Transport& transport, RegisterVoter& voter,
                                 RegisterProposer& proposer, Membership& membership, std::string name,
                                 std::size_t tolerated_machines, VoterSetHooks hooks,
                                 VoterPlacement placement)
    : scheduler_(scheduler),
      transport_(transport),
      voter_(voter),
      proposer_(proposer),
      membership_(membership),
      name_(std::move(name)),
      tolerated_machines_(tolerated_machines),
      hooks_(std::move(hooks)),
      placement_(std::move(placement)) {}

void VoterSetManager::start() {
    last_evaluation_ = scheduler_.now();
    tick();
}

void VoterSetManager::tick() {
    if (scheduler_.now() >= next_query_at_) {
        next_query_at_ = scheduler_.now() + kQueryInterval;
        queryPeers();
    }
    trackVoters();
    evaluate();
    timer_ = scheduler_.after(kCheckInterval, [this] { tick(); });
}

// Also lets a machine that was removed while it was down learn of its removal.
void VoterSetManager::queryPeers() {
    for (const NodeAddress& peer : hooks_.peers()) {
        const auto done = [this](const std::optional<ReadVotersReply>& reply) {
            if (reply) voter_.learnVoters(reply->voters);
        };
        callFor<ReadVotersReply>(transport_, peer, kReadVoters, ReadVotersRequest{name_}, kQueryTimeout,
                                 lifetime_.guard(done));
    }
}

void VoterSetManager::onLeaseRenewed(const std::string& name) {
    const MemberEntry* entry = membership_.find(name);
    if (entry == nullptr) return;
    const Member& member = entry->member;
    CoreRecord& record = machines_[member.address];
    const bool changed = record.has_data == member.disk_empty || record.leaving != member.leaving;
    record.has_data = !member.disk_empty;
    record.leaving = member.leaving;
    record.zone = member.zone;
    if (record.has_data) record.last_ready = entry->last_seen;
    if (changed) evaluate();
}

// For a voter that never renews its lease here, the timeout starts when it became known.
void VoterSetManager::trackVoters() {
    const SteadyTime now = scheduler_.now();
    const std::vector<NodeAddress>& voters = voter_.voters();
    for (const NodeAddress& voter : voters) machines_.try_emplace(voter, CoreRecord{.last_ready = now});
    std::erase_if(machines_, [&](const auto& entry) {
        const bool is_voter = std::find(voters.begin(), voters.end(), entry.first) != voters.end();
        return !is_voter && now - entry.second.last_ready > kVoterTimeout;
    });
}

void VoterSetManager::evaluate() {
    const SteadyTime now = scheduler_.now();
    if (now - last_evaluation_ > kProcessPauseThreshold) listening_since_ = now;
    last_evaluation_ = now;
    const bool acting = hooks_.is_acting_leader();
    if (acting && !acting_leader_) rewritten_version_.reset();
    acting_leader_ = acting;
    if (acting) manageVoters();
}

void VoterSetManager::manageVoters() {
    if (changing_ || !voter_.canVote()) return;
    if (rewritten_version_ != voter_.voterSet().version) return rewriteRegisters();
    if (!hooks_.holds_lease_from(voter_.voterSet().version)) return hooks_.renew_lease();
    const std::optional<VoterSet> next =
        nextVoters(voter_.voterSet(), observe(), tolerated_machines_, placement_.tolerance);
    if (!next) return;
    const bool adds = next->addresses.size() > voter_.voters().size();
    if (adds) return proposeIfReachable(*next, next->addresses.back());
    propose(*next);
}

std::vector<CoreObservation> VoterSetManager::observe() const {
    std::vector<CoreObservation> observed;
    for (const NodeAddress& address : voter_.voters()) observed.push_back(observeVoter(address));
    for (const auto& [address, record] : machines_) {
        if (isStandby(address, record)) observed.push_back(observeStandby(address, record));
    }
    return observed;
}

CoreObservation VoterSetManager::observeStandby(const NodeAddress& address, const CoreRecord& record) const {
    return {address, true, false, true, record.zone, placement_.topology.regionOf(record.zone)};
}

CoreObservation VoterSetManager::observeVoter(const NodeAddress& address) const {
    if (address == voter_.self()) {
        const std::string& zone = placement_.own_zone;
        return {address, true, false, true, zone, placement_.topology.regionOf(zone)};
    }
    const auto found = machines_.find(address);
    // The voter has only just become known, so no missing renewal counts yet.
    if (found == machines_.end()) return {address, true, false, true, {}, {}};
    const CoreRecord& record = found->second;
    const Millis silence =
        std::chrono::duration_cast<Millis>(scheduler_.now() - std::max(record.last_ready, listening_since_));
    const bool live = !record.leaving && silence <= kVoterLiveWindow;
    return {address,
            live,
            silence > kVoterTimeout,
            live && record.has_data,
            record.zone,
            placement_.topology.regionOf(record.zone)};
}

bool VoterSetManager::isStandby(const NodeAddress& address, const CoreRecord& record) const {
    const std::vector<NodeAddress>& voters = voter_.voters();
    if (std::find(voters.begin(), voters.end(), address) != voters.end()) return false;
    return record.has_data && !record.leaving && scheduler_.now() - record.last_ready <= kVoterLiveWindow;
}

struct VoterSetManager::RewriteRound {
    std::uint64_t version = 0;
    std::size_t open = kRegisterKeys.size();
    bool complete = true;
};

void VoterSetManager::rewriteRegisters() {
    changing_ = true;
    const auto round = std::make_shared<RewriteRound>();
    round->version = voter_.voterSet().version;
    const ChangeOptions options{.timeout = kRoundTimeout, .voters_version = round->version};
    for (const std::string& key : kRegisterKeys) {
        const auto done = [this, round, key](const ChangeOutcome& outcome) {
            onRegisterRewritten(round, key, outcome);
        };
        proposer_.change(key, keepValue, options, lifetime_.guard(done));
    }
}

void VoterSetManager::onRegisterRewritten(const std::shared_ptr<RewriteRound>& round, const std::string& key,
                                          const ChangeOutcome& outcome) {
    round->complete = round->complete && outcome.known && outcome.voters_version == round->version;
    // A value that cannot be decoded is not treated as empty, and never changed.
    if (key == kVotersKey && !isReadable(key, outcome.value)) round->complete = false;
    // Reveals an earlier change whose outcome was unknown.
    if (outcome.known && key == kVotersKey) learnChosen(outcome);
    if (--round->open > 0) return;
    changing_ = false;
    // If incomplete, the next evaluation tries again.
    if (!round->complete || voter_.voterSet().version != round->version) return;
    rewritten_version_ = round->version;
    if (hooks_.is_acting_leader()) manageVoters();
}

// The machine may have failed since its last renewal; as a voter it would be one more loss to tolerate.
void VoterSetManager::proposeIfReachable(const VoterSet& next, const NodeAddress& added) {
    changing_ = true;
    const auto done = [this, next, added](const std::optional<ReadVotersReply>& reply) {
        changing_ = false;
        if (!reply) machines_[added].has_data = false;  // until its next lease renewal
        const bool unchanged = next.version == voter_.voterSet().version + 1;
        if (reply && unchanged && hooks_.is_acting_leader()) propose(next);
    };
    callFor<ReadVotersReply>(transport_, added, kReadVoters, ReadVotersRequest{name_}, kQueryTimeout,
                             lifetime_.guard(done));
}

void VoterSetManager::propose(const VoterSet& next) {
    changing_ = true;
    const auto decide = [this, base = voter_.voterSet(), next](const std::string& current) {
        return hooks_.is_acting_leader() ? decideVoters(current, base, next) : Decision::keep();
    };
    const auto done = [this](const ChangeOutcome& outcome) { onProposed(outcome); };
    const ChangeOptions options{.timeout = kRoundTimeout, .voters_version = voter_.voterSet().version};
    proposer_.change(kVotersKey, decide, options, lifetime_.guard(done));
}

void VoterSetManager::onProposed(const ChangeOutcome& outcome) {
    changing_ = false;
    rewritten_version_.reset();
    if (outcome.known) learnChosen(outcome);
    if (outcome.known && outcome.wrote) {
        const VoterSet& voters = voter_.voterSet();
        LOG(INFO) << "voter set changed to version " << voters.version << ", " << voters.addresses.size()
                  << " machines";
    }
    if (outcome.wrote && hooks_.is_acting_leader()) manageVoters();
}

void VoterSetManager::learnChosen(const ChangeOutcome& outcome) {
    if (const auto chosen = readVoterSet(outcome.value)) voter_.learnVoters(*chosen);
}

}  // namespace amberswitch::cluster
