#include "cluster/control/register_voter.hpp"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "cluster/common/codec.hpp"
#include "cluster/common/injected_fault.hpp"
#include "cluster/storage/storage_error.hpp"

namespace amberswitch::cluster {
namespace {

const std::string kVotersRecord = "register/voters";
const std::string kPromisePrefix = "register/promised/";
const std::string kAcceptedPrefix = "register/accepted/";

}  // namespace

RegisterVoter::RegisterVoter(RecordStore& disk, NodeAddress self,
                             const std::vector<NodeAddress>& initial_voters, bool bootstrap)
    : disk_(disk), self_(std::move(self)) {
    const bool has_records = load();
    if (!has_records && bootstrap) initialize(initial_voters);
}

// Returns false if the disk has no records. Records that cannot be read count as present but invalid, so the
// machine has to recover.
bool RegisterVoter::load() {
    try {
        const bool has_records = loadRecords();
        if (!disk_.hasMissingRecords()) return has_records;
        LOG(ERROR)
            << "register records are missing on disk; this machine does not vote until it has recovered";
        data_valid_ = false;
        return true;
    } catch (const StorageError& error) {
        LOG(ERROR)
            << "cannot read the register from disk; this machine does not vote until it has recovered: "
            << error.what();
        data_valid_ = false;
        return true;
    }
}

bool RegisterVoter::loadRecords() {
    const std::optional<std::string> stored_voters = disk_.read(kVotersRecord);
    if (!stored_voters) return false;
    const auto voter_set = decode<VoterSetRecord>(*stored_voters);
    if (!voter_set) {
        LOG(ERROR)
            << "the voter set on disk cannot be decoded; this machine does not vote until it has recovered";
        return true;
    }
    voters_ = voter_set->voters;
    voters_stored_ = true;
    data_valid_ = true;
    for (const std::string key : {kConfigKey, kViewKey, kVotersKey}) {
        KeyState& state = keys_[key];
        if (const auto stored = disk_.read(kPromisePrefix + key)) {
            const auto promised = decode<Ballot>(*stored);
            data_valid_ = data_valid_ && promised.has_value();
            if (promised) state.promised = *promised;
        }
        if (const auto stored = disk_.read(kAcceptedPrefix + key)) {
            auto accepted = decode<AcceptedRecord>(*stored);
            data_valid_ = data_valid_ && accepted.has_value();
            if (accepted) state.accepted = std::move(*accepted);
        }
        state.promised = std::max(state.promised, state.accepted.ballot);
    }
    return true;
}

// Does not need to check wasEmpty(): a machine that has ever replied as a voter has its voter set on disk.
void RegisterVoter::initialize(const std::vector<NodeAddress>& initial_voters) {
    voters_ = {0, initial_voters};
    first_start_ = true;
    completeInitialization();
}

void RegisterVoter::completeInitialization() {
    if (!voters_stored_ && !storeVoters()) return;
    afterSync([this](bool synced) { data_valid_ = data_valid_ || synced; });
}

void RegisterVoter::onDiskHealthy() {
    if (first_start_ && !data_valid_) completeInitialization();
}

bool RegisterVoter::storeVoters() {
    voters_stored_ = disk_.put(kVotersRecord, encode(VoterSetRecord{voters_}));
    return voters_stored_;
}

bool RegisterVoter::storePromise(const std::string& key, const Ballot& ballot) {
    if (!disk_.put(kPromisePrefix + key, encode(ballot))) return false;
    keys_[key].promised = ballot;
    return true;
}

bool RegisterVoter::storeAccepted(const std::string& key, AcceptedRecord accepted) {
    if (!disk_.put(kAcceptedPrefix + key, encode(accepted))) return false;
    KeyState& state = keys_[key];
    state.promised = std::max(state.promised, accepted.ballot);
    state.accepted = std::move(accepted);
    return true;
}

void RegisterVoter::afterSync(std::function<void(bool)> done) {
    if (isFaultInjected(InjectedFault::answers_before_sync)) std::exchange(done, [](bool) {})(true);
    disk_.sync(lifetime_.guard([done = std::move(done)](bool synced) {
        done(synced || isFaultInjected(InjectedFault::failed_sync_counts));
    }));
}

bool RegisterVoter::isAmongVoters() const {
    const std::vector<NodeAddress>& all = voters_.addresses;
    return std::find(all.begin(), all.end(), self_) != all.end();
}

std::string RegisterVoter::acceptedValue(const std::string& key) const {
    const auto found = keys_.find(key);
    return found == keys_.end() ? std::string() : found->second.accepted.value;
}

Ballot RegisterVoter::acceptedBallot(const std::string& key) const {
    const auto found = keys_.find(key);
    return found == keys_.end() ? Ballot{} : found->second.accepted.ballot;
}

Ballot RegisterVoter::promisedBallot(const std::string& key) const {
    const auto found = keys_.find(key);
    return found == keys_.end() ? Ballot{} : found->second.promised;
}

void RegisterVoter::learnVoters(const VoterSet& voters) {
    const bool newer = voters_.addresses.empty() || voters.version > voters_.version;
    if (!newer || voters.addresses.empty()) return;
    voters_ = voters;
    voters_stored_ = false;
    // A machine without its data must not store the record, since the record states that the data is
    // complete.
    const bool may_store = data_valid_ || first_start_;
    if (may_store && storeVoters())
        afterSync([](bool) {});  // a vote that depends on it waits for its own sync
}

bool RegisterVoter::adoptVoters(const VoterSet& requested) {
    learnVoters(requested);
    if (requested.version < voters_.version) return false;
    return voters_stored_ || !data_valid_ || storeVoters();
}

void RegisterVoter::prepare(const PrepareRequest& request, std::function<void(PrepareReply)> done) {
    PrepareReply answer;
    const bool voters_current = adoptVoters(request.voters);
    if (request.voters.version < voters_.version) answer.newer_voters = voters_;
    if (!voters_current || !canVote()) return done(answer);
    const KeyState& state = keys_[request.key];
    answer.voter = true;
    answer.highest = state.promised;
    if (request.ballot <= state.promised) return done(answer);
    if (!storePromise(request.key, request.ballot)) return done(answer);
    answer.promised = true;
    answer.highest = request.ballot;
    answer.accepted = state.accepted.ballot;
    answer.value = state.accepted.value;
    afterSync([answer = std::move(answer), done = std::move(done)](bool synced) {
        done(synced ? answer : PrepareReply{});
    });
}

void RegisterVoter::accept(const AcceptRequest& request, std::function<void(AcceptReply)> done) {
    AcceptReply answer;
    const bool voters_current = adoptVoters(request.voters);
    if (request.voters.version < voters_.version) answer.newer_voters = voters_;
    if (!voters_current || !canVote()) return done(answer);
    const KeyState& state = keys_[request.key];
    answer.voter = true;
    answer.highest = state.promised;
    const bool keeps_promise = !isFaultInjected(InjectedFault::accepts_below_promise);
    if (request.ballot < state.promised && keeps_promise) return done(answer);
    if (!storeAccepted(request.key, {request.ballot, request.value})) return done(answer);
    answer.accepted = true;
    answer.highest = request.ballot;
    afterSync([answer, done = std::move(done)](bool synced) { done(synced ? answer : AcceptReply{}); });
}

void RegisterVoter::recover(const std::vector<RecoveredRegister>& registers, std::function<void(bool)> done) {
    bool stored = true;
    for (const RecoveredRegister& recovered : registers) {
        stored = stored && storeAccepted(recovered.key, {recovered.ballot, recovered.value});
    }
    if (!stored) return done(false);
    // The voter set record states that the data is complete, so it must not become durable before the
    // registers.
    afterSync([this, done = std::move(done)](bool synced) {
        if (!synced || !storeVoters()) return done(false);
        afterSync([this, done](bool voters_synced) {
            data_valid_ = voters_synced;
            done(voters_synced);
        });
    });
}

}  // namespace amberswitch::cluster
