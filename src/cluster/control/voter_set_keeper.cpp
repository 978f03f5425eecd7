#include "cluster/control/voter_set_keeper.hpp"

#include <glog/logging.h>

#include <algorithm>
#include <array>
#include <utility>

#include "cluster/common/codec.hpp"
#include "cluster/control/lease_times.hpp"
#include "cluster/control/register_values.hpp"
#include "cluster/control/typed_call.hpp"

namespace amberswitch::cluster {
namespace {

constexpr Millis kCheckInterval{250};
constexpr Millis kAskInterval{1000};
constexpr Millis kAskTimeout{400};
constexpr Millis kRoundTimeout{1500};
constexpr Millis kOwnPause{600};  // between two looks: this process stood still itself
const std::array<std::string, 3> kSettledKeys{kVotersKey, kConfigKey, kViewKey};

Decision keepValue(const std::string&) {
    return Decision::keep();
}

// Replaces exactly `base` by `next`.
Decision decideVoters(const std::string& current, const VoterSet& base, const VoterSet& next) {
    const std::optional<VoterSet> found = current.empty() ? base : readVoterSet(current);
    if (!found || *found != base) return Decision::keep();
    if (current.empty() && base.version != 0) return Decision::keep();
    return Decision::replaceBy(encode(next));
}

}  // namespace

VoterSetKeeper::VoterSetKeeper(Scheduler& scheduler, Transport& transport, RegisterVoter& voter,
                               RegisterProposer& proposer, Membership& membership, std::string name,
                               std::size_t tolerated, VoterSetHooks hooks, VoterPlaces places)
    : scheduler_(scheduler),
      transport_(transport),
      voter_(voter),
      proposer_(proposer),
      membership_(membership),
      name_(std::move(name)),
      tolerated_(tolerated),
      hooks_(std::move(hooks)),
      places_(std::move(places)) {}

void VoterSetKeeper::start() {
    last_look_ = scheduler_.now();
    tick();
}

void VoterSetKeeper::tick() {
    if (scheduler_.now() >= next_ask_) {
        next_ask_ = scheduler_.now() + kAskInterval;
        askPeers();
    }
    noteVoters();
    look();
    timer_ = scheduler_.after(kCheckInterval, [this] { tick(); });
}

// A machine that was removed while it was down finds out by this.
void VoterSetKeeper::askPeers() {
    for (const NodeAddress& peer : hooks_.peers()) {
        const auto done = [this](const std::optional<ReadVotersReply>& reply) {
            if (reply) voter_.learnVoters(reply->voters);
        };
        callFor<ReadVotersReply>(transport_, peer, kReadVoters, ReadVotersRequest{name_}, kAskTimeout,
                                 lifetime_.guard(done));
    }
}

void VoterSetKeeper::onRenewed(const std::string& name) {
    const MemberEntry* entry = membership_.find(name);
    if (entry == nullptr) return;
    const Member& member = entry->member;
    CoreRecord& record = machines_[member.address];
    const bool changed = record.has_data == member.disk_empty || record.leaving != member.leaving;
    record.has_data = !member.disk_empty;
    record.leaving = member.leaving;
    record.zone = member.zone;
    if (record.has_data) record.last_ready = entry->last_seen;
    if (changed) look();
}

// A voter that never renews its lease here is silent from the time on when it became known.
void VoterSetKeeper::noteVoters() {
    const SteadyTime now = scheduler_.now();
    const std::vector<NodeAddress>& voters = voter_.voters();
    for (const NodeAddress& voter : voters) machines_.try_emplace(voter, CoreRecord{.last_ready = now});
    std::erase_if(machines_, [&](const auto& entry) {
        const bool is_voter = std::find(voters.begin(), voters.end(), entry.first) != voters.end();
        return !is_voter && now - entry.second.last_ready > kVoterSilence;
    });
}

void VoterSetKeeper::look() {
    const SteadyTime now = scheduler_.now();
    if (now - last_look_ > kOwnPause) listens_since_ = now;
    last_look_ = now;
    const bool acts = hooks_.is_acting();
    if (acts && !acting_) settled_version_.reset();
    acting_ = acts;
    if (acts) lead();
}

void VoterSetKeeper::lead() {
    if (changing_ || !voter_.votes()) return;
    if (settled_version_ != voter_.voterSet().version) return settle();
    if (!hooks_.holds_lease_of(voter_.voterSet().version)) return hooks_.renew_lease();
    const std::optional<VoterSet> next = nextVoters(voter_.voterSet(), observe(), tolerated_, places_.spread);
    if (!next) return;
    const bool adds = next->addresses.size() > voter_.voters().size();
    if (adds) return proposeOnceAnswered(*next, next->addresses.back());
    propose(*next);
}

std::vector<CoreObservation> VoterSetKeeper::observe() const {
    std::vector<CoreObservation> observed;
    for (const NodeAddress& address : voter_.voters()) observed.push_back(observeVoter(address));
    for (const auto& [address, record] : machines_) {
        if (isStandby(address, record)) observed.push_back(observeStandby(address, record));
    }
    return observed;
}

CoreObservation VoterSetKeeper::observeStandby(const NodeAddress& address, const CoreRecord& record) const {
    return {address, true, false, true, record.zone, places_.topology.regionOf(record.zone)};
}

CoreObservation VoterSetKeeper::observeVoter(const NodeAddress& address) const {
    if (address == voter_.self()) {
        const std::string& zone = places_.own_zone;
        return {address, true, false, true, zone, places_.topology.regionOf(zone)};
    }
    const auto found = machines_.find(address);
    // Where it has only just become known, its silence is not known either.
    if (found == machines_.end()) return {address, true, false, true, {}, {}};
    const CoreRecord& record = found->second;
    const Millis silence =
        std::chrono::duration_cast<Millis>(scheduler_.now() - std::max(record.last_ready, listens_since_));
    const bool live = !record.leaving && silence <= kVoterLive;
    return {address,
            live,
            silence > kVoterSilence,
            live && record.has_data,
            record.zone,
            places_.topology.regionOf(record.zone)};
}

bool VoterSetKeeper::isStandby(const NodeAddress& address, const CoreRecord& record) const {
    const std::vector<NodeAddress>& voters = voter_.voters();
    if (std::find(voters.begin(), voters.end(), address) != voters.end()) return false;
    return record.has_data && !record.leaving && scheduler_.now() - record.last_ready <= kVoterLive;
}

struct VoterSetKeeper::SettleRound {
    std::uint64_t version = 0;
    std::size_t open = kSettledKeys.size();
    bool whole = true;
};

void VoterSetKeeper::settle() {
    changing_ = true;
    const auto round = std::make_shared<SettleRound>();
    round->version = voter_.voterSet().version;
    const ChangeOptions options{.timeout = kRoundTimeout, .voters_version = round->version};
    for (const std::string& key : kSettledKeys) {
        const auto done = [this, round, key](const ChangeOutcome& outcome) {
            onSettled(round, key, outcome);
        };
        proposer_.change(key, keepValue, options, lifetime_.guard(done));
    }
}

void VoterSetKeeper::onSettled(const std::shared_ptr<SettleRound>& round, const std::string& key,
                               const ChangeOutcome& outcome) {
    round->whole = round->whole && outcome.known && outcome.voters_version == round->version;
    // What can't be read is never taken for an empty value, and never changed.
    if (key == kVotersKey && !isReadable(key, outcome.value)) round->whole = false;
    // A change whose outcome was lost shows here.
    if (outcome.known && key == kVotersKey) learnChosen(outcome);
    if (--round->open > 0) return;
    changing_ = false;
    // Otherwise the next look tries again.
    if (!round->whole || voter_.voterSet().version != round->version) return;
    settled_version_ = round->version;
    if (hooks_.is_acting()) lead();
}

// A machine may have died since its last renewal; as a voter it would only be one loss more to bear.
void VoterSetKeeper::proposeOnceAnswered(const VoterSet& next, const NodeAddress& added) {
    changing_ = true;
    const auto done = [this, next, added](const std::optional<ReadVotersReply>& reply) {
        changing_ = false;
        if (!reply) machines_[added].has_data = false;  // until it renews its lease again
        const bool unchanged = next.version == voter_.voterSet().version + 1;
        if (reply && unchanged && hooks_.is_acting()) propose(next);
    };
    callFor<ReadVotersReply>(transport_, added, kReadVoters, ReadVotersRequest{name_}, kAskTimeout,
                             lifetime_.guard(done));
}

void VoterSetKeeper::propose(const VoterSet& next) {
    changing_ = true;
    const auto decide = [this, base = voter_.voterSet(), next](const std::string& current) {
        return hooks_.is_acting() ? decideVoters(current, base, next) : Decision::keep();
    };
    const auto done = [this](const ChangeOutcome& outcome) { onProposed(outcome); };
    const ChangeOptions options{.timeout = kRoundTimeout, .voters_version = voter_.voterSet().version};
    proposer_.change(kVotersKey, decide, options, lifetime_.guard(done));
}

void VoterSetKeeper::onProposed(const ChangeOutcome& outcome) {
    changing_ = false;
    settled_version_.reset();
    if (outcome.known) learnChosen(outcome);
    if (outcome.known && outcome.wrote) {
        const VoterSet& voters = voter_.voterSet();
        LOG(INFO) << "voters " << voters.version << ": " << voters.addresses.size() << " machines";
    }
    if (outcome.wrote && hooks_.is_acting()) lead();
}

void VoterSetKeeper::learnChosen(const ChangeOutcome& outcome) {
    if (const auto chosen = readVoterSet(outcome.value)) voter_.learnVoters(*chosen);
}

}  // namespace amberswitch::cluster
