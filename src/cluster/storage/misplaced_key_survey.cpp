#include "cluster/storage/misplaced_key_survey.hpp"

#include <utility>

#include "cluster/common/typed_call.hpp"

namespace amberswitch::cluster::storage {

namespace {

constexpr Millis kAnswerTimeout{400};

}  // namespace

void MisplacedKeySurvey::tick() {
    if (keys_.isSettled() || placement_.view() == nullptr) return;
    own_ = lookAtOwn();
    keys_.record(placement_.self(), own_);
    for (const StoreMember& store : placement_.view()->stores) {
        const bool is_other = store.member.name != placement_.self();
        if (is_other && store.alive && !keys_.isSettled()) ask(store);
    }
    on_change_();
}

std::vector<MisplacedKeysOfPartition> MisplacedKeySurvey::lookAtOwn() const {
    std::vector<MisplacedKeysOfPartition> partitions;
    for (const auto& [partition, owned] : owned_) {
        if (owned->active) partitions.push_back({partition, owned->queue.misplacedKeys()});
    }
    return partitions;
}

void MisplacedKeySurvey::ask(const StoreMember& store) {
    const std::string& name = store.member.name;
    if (!asked_.insert(name).second) return;
    callFor<MisplacedKeysReply>(transport_, store.member.address, MessageKind::misplaced_keys,
                                MisplacedKeysRequest{}, kAnswerTimeout,
                                [this, name](const std::optional<MisplacedKeysReply>& reply) {
                                    asked_.erase(name);
                                    if (reply) onReply(name, *reply);
                                });
}

void MisplacedKeySurvey::onReply(const std::string& store, const MisplacedKeysReply& reply) {
    if (keys_.isSettled()) return;
    if (reply.settled) {
        keys_.settle();
    } else {
        keys_.record(store, reply.partitions);
    }
    on_change_();
}

MisplacedKeysReply MisplacedKeySurvey::answer() const {
    if (keys_.isSettled()) return {true, {}};
    return {false, own_};
}

}  // namespace amberswitch::cluster::storage
