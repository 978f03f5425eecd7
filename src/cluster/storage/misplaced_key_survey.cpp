#include "cluster/storage/misplaced_key_survey.hpp"

#include <utility>

#include "cluster/common/codec.hpp"

namespace amberswitch::cluster::storage {

namespace {

constexpr Millis kAnswerTimeout{400};

}  // namespace

MisplacedKeySurvey::MisplacedKeySurvey(Transport& transport, const Placement& placement,
                                       const OwnedPartitions& owned, MisplacedKeys& keys,
                                       std::function<void()> on_change)
    : transport_(transport),
      placement_(placement),
      owned_(owned),
      keys_(keys),
      on_change_(std::move(on_change)) {}

void MisplacedKeySurvey::tick() {
    if (keys_.isSettled() || placement_.view() == nullptr) return;
    reportOwn();
    for (const StoreMember& store : placement_.view()->stores) {
        const bool is_other = store.member.name != placement_.self();
        if (is_other && store.alive && !keys_.isSettled()) ask(store);
    }
    on_change_();
}

void MisplacedKeySurvey::reportOwn() {
    for (const auto& [partition, owned] : owned_) {
        if (!owned->active || keys_.isClear(partition)) continue;
        keys_.report(partition, owned->queue.misplacedKeys());
    }
}

void MisplacedKeySurvey::ask(const StoreMember& store) {
    const std::string& name = store.member.name;
    if (!asked_.insert(name).second) return;
    transport_.call(store.member.address,
                    envelope(MessageKind::misplaced_keys, MisplacedKeysRequest{placement_.self()}),
                    kAnswerTimeout, [this, name](const CallResult& result) {
                        asked_.erase(name);
                        if (result.verdict != CallStatus::answered) return;
                        if (const auto reply = decode<MisplacedKeysReply>(result.reply.body)) onReply(*reply);
                    });
}

void MisplacedKeySurvey::onReply(const MisplacedKeysReply& reply) {
    if (keys_.isSettled()) return;
    if (reply.settled) keys_.settle();
    for (const MisplacedKeysOfPartition& reported : reply.partitions)
        keys_.report(reported.partition, {reported.keys.begin(), reported.keys.end()});
    on_change_();
}

MisplacedKeysReply MisplacedKeySurvey::answer() const {
    MisplacedKeysReply reply;
    reply.settled = keys_.isSettled();
    if (reply.settled) return reply;
    for (const auto& [partition, owned] : owned_) {
        if (!owned->active) continue;
        MisplacedKeysOfPartition& reported = reply.partitions.emplace_back();
        reported.partition = partition;
        if (keys_.isClear(partition)) continue;
        const std::set<std::string> keys = owned->queue.misplacedKeys();
        reported.keys.assign(keys.begin(), keys.end());
    }
    return reply;
}

}  // namespace amberswitch::cluster::storage
