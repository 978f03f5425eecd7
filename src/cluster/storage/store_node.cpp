#include "cluster/storage/store_node.hpp"

#include <glog/logging.h>

#include "cluster/storage/store_node_impl.hpp"

namespace amberswitch::cluster {

using storage::findActive;
using storage::findOwned;
using storage::PeerStore;
using storage::QueueItem;

namespace {

constexpr Millis kTick{100};
constexpr std::uint64_t kTicksPerTrim = 10;
constexpr std::size_t kMaxTrimmedPerPass = 2000;
// For this long after being replaced, a previous owner that may still run uses its share of the services'
// ceilings.
constexpr Millis kPreviousOwnerGrace{3000};
constexpr Millis kFormerGrantsRetention{10000};
constexpr Millis kExitMargin{1500};
// Replies to the last pulls have left the machine within this time.
constexpr Millis kLastAnswerDelay{200};

}  // namespace

StoreNode::StoreNode(Scheduler& scheduler, Transport& transport, RecordStore& disk,
                     const NodeSettings& settings, Incarnation incarnation)
    : impl_(std::make_unique<Impl>(scheduler, transport, disk, settings, incarnation)) {}
StoreNode::~StoreNode() = default;
void StoreNode::start() {
    impl_->start();
}
void StoreNode::onView(std::shared_ptr<const StoreView> view) {
    impl_->onView(std::move(view));
}
void StoreNode::onConfiguration(std::shared_ptr<const Configuration> configuration) {
    impl_->onConfiguration(std::move(configuration));
}
void StoreNode::onServers(std::shared_ptr<const ServerList> servers) {
    impl_->onServers(*servers);
}
void StoreNode::setEdgeCount(std::uint32_t edges) {
    impl_->setEdgeCount(edges);
}
void StoreNode::onUsable(std::function<void(bool)> listener) {
    impl_->onUsable(std::move(listener));
}
void StoreNode::leave(std::function<void()> done) {
    impl_->leave(std::move(done));
}
std::string StoreNode::metricsText() const {
    return impl_->metricsText();
}

std::string StoreNode::statusJson() const {
    return impl_->statusJson();
}

StoreNode::Impl::Impl(Scheduler& scheduler, Transport& transport, RecordStore& disk,
                      const NodeSettings& settings, Incarnation incarnation)
    : scheduler_(scheduler),
      transport_(transport),
      disk_(disk),
      settings_(settings),
      incarnation_(incarnation),
      clock_(scheduler),
      placement_(settings.name, settings.zone, settings.topology, settings.tolerance),
      replica_(disk, clock_, settings.bootstrap && disk.wasEmpty(), settings.bounds.status_retention),
      replicator_(scheduler, transport, placement_, replica_, clock_),
      grants_(settings.zone, settings.topology, incarnation),
      misplaced_keys_(placement_),
      items_(clock_, settings.bounds.status_retention),
      outcomes_(owned_, grants_, replica_, replicator_, items_, clock_, incarnation),
      granter_(scheduler, transport, owned_, grants_, outcomes_, replica_, items_, settings.name),
      edge_watch_(transport, owned_, grants_, outcomes_, granter_, clock_, settings.name),
      acceptor_(disk, replica_, replicator_, placement_, clock_, owned_, items_, outcomes_, granter_,
                [this](PartitionId partition) { onFenced(partition); }),
      peering_(scheduler, transport, replica_, replicator_, placement_, clock_, peeringHooks()),
      misplaced_key_survey_(transport, placement_, owned_, misplaced_keys_,
                            [this] { onMisplacedKeysChanged(); }) {
    const bool first_start = settings.bootstrap && disk.wasEmpty();
    if (first_start) misplaced_keys_.settle();
}

storage::PeeringDriver::Hooks StoreNode::Impl::peeringHooks() {
    storage::PeeringDriver::Hooks hooks;
    hooks.on_quorum = [this](PartitionId partition, const std::vector<RunningAttempt>& running) {
        onQuorum(partition, running);
    };
    hooks.on_merged = [this](PartitionId partition, const std::vector<MessageId>& touched) {
        onMerged(partition, touched);
    };
    hooks.on_holder = [this](PartitionId partition, const MessageId& id, const std::string& store) {
        OwnedPartition* const owned = findActive(owned_, partition);
        QueueItem* const item = owned == nullptr ? nullptr : owned->queue.find(id);
        if (item != nullptr) item->holders.insert(store);
    };
    hooks.is_storing = [this](PartitionId partition, const MessageId& id) {
        return acceptor_.inProgress(partition, id);
    };
    hooks.on_done = [this](PartitionId partition, Epoch epoch) {
        Epoch& newest = last_peering_done_[partition];
        newest = std::max(newest, epoch);
    };
    return hooks;
}

void StoreNode::Impl::start() {
    disk_.onHealthChange([this](bool healthy) { onDiskHealth(healthy); });
    replica_.onReadFailure([this] { onReadFailure(); });
    replica_.load();
    if (!disk_.healthy()) onDiskHealth(false);
    LOG(INFO) << "store " << settings_.name << ": loaded " << replica_.size() << " messages from disk";
    transport_.serve(
        [this](const Envelope& request, Responder respond) { serve(request, std::move(respond)); });
    tick_timer_ = scheduler_.after(kTick, [this] { tick(); });
}

void StoreNode::Impl::onDiskHealth(bool healthy) {
    if (healthy) {
        LOG(WARNING) << "store " << settings_.name << ": disk has recovered";
    } else {
        LOG(ERROR) << "store " << settings_.name
                   << ": disk failed; the store counts as neither copy nor owner until it recovers";
    }
    notifyUsable();
}

// While the store reports itself as not usable, a view lists it as away; the later view in which it is back
// makes the owners look for missing copies.
void StoreNode::Impl::onReadFailure() {
    if (std::exchange(has_unreadable_data_, true)) return;
    LOG(ERROR) << "store " << settings_.name
               << ": unreadable data on disk; its copies are not valid until the owners have peered again";
    notifyUsable();
}

void StoreNode::Impl::clearReadFailure() {
    const bool is_away = placement_.member(settings_.name) == nullptr || !placement_.alive(settings_.name);
    if (!has_unreadable_data_ || !is_away) return;
    has_unreadable_data_ = false;
    notifyUsable();
}

void StoreNode::Impl::notifyUsable() {
    if (on_usable_) on_usable_(disk_.healthy() && !has_unreadable_data_);
}

void StoreNode::Impl::tick() {
    tick_timer_ = scheduler_.after(kTick, [this] { tick(); });
    replica_.stageDeferredWrites();
    peering_.tick();
    acceptor_.tick();
    misplaced_key_survey_.tick();
    edge_watch_.tick();
    for (auto& [partition, owned] : owned_) {
        if (owned->active) outcomes_.endExpired(*owned);
    }
    replicator_.flush();
    updateLimiterShares();
    if (grants_.ready.size() > 0) granter_.schedule();
    if (++ticks_ % kTicksPerTrim == 0) {
        replica_.trim(kMaxTrimmedPerPass);
        // No caller waits for ends and counts to be durable; the sync limits how many a power failure can
        // undo.
        if (replica_.takeUnsyncedStates()) replica_.sync([](bool) {});
    }
    std::erase_if(former_grants_, [this](const auto& entry) { return entry.second.until < clock_.now(); });
    finishLeaving();
}

bool StoreNode::Impl::isNamedAsOwner(const StoreView& view, PartitionId partition) const {
    const StoreMember* const owner = view.ownerOf(partition);
    return owner != nullptr && owner->member.name == settings_.name;
}

bool StoreNode::Impl::isOwnerInView(const StoreView& view, PartitionId partition) const {
    return isNamedAsOwner(view, partition) && view.ownerOf(partition)->member.incarnation == incarnation_;
}

void StoreNode::Impl::onView(std::shared_ptr<const StoreView> view) {
    if (view_ && view->epoch <= view_->epoch) return;
    const Epoch previous_epoch = view_ ? view_->epoch : 0;
    view_ = std::move(view);
    placement_.update(view_);
    recordOwnJoin();
    clearReadFailure();
    const auto partitions = static_cast<PartitionId>(view_->partitions.size());
    for (PartitionId partition = 0; partition < partitions; ++partition) {
        const bool is_owner =
            isOwnerInView(*view_, partition) && replica_.promised(partition) <= view_->epoch;
        if (is_owner) {
            takeOver(partition, *view_, previous_epoch);
        } else if (findOwned(owned_, partition) != nullptr) {
            relinquish(partition);
        }
    }
    updateLimiterShares();
    misplaced_key_survey_.tick();
    LOG(INFO) << "store " << settings_.name << ": applied view " << view_->epoch << ", owns " << owned_.size()
              << " partitions";
}

void StoreNode::Impl::recordOwnJoin() {
    const StoreMember* const self = placement_.member(settings_.name);
    if (self != nullptr) replica_.recordJoin(self->joined_epoch, self->joined_incarnation == incarnation_);
}

std::vector<PeerStore> StoreNode::Impl::peersOf(PartitionId partition) const {
    const std::int32_t previous = view_->partitions[partition].previous;
    const auto peer = [&](const std::string& name, bool alive) {
        const StoreMember& member = *placement_.member(name);
        const bool previous_owner =
            previous >= 0 && &member == &view_->stores[static_cast<std::size_t>(previous)];
        const bool answers = alive || member.member.leaving || member.member.disk_failed;
        const bool hands_over = previous_owner && answers;
        return PeerStore{
            name, alive, hands_over, !member.retiring, member.absent_since_epoch, member.member.zone};
    };
    std::vector<PeerStore> peers;
    for (const std::string& name : placement_.liveOrder(partition)) peers.push_back(peer(name, true));
    for (const StoreMember& store : view_->stores) {
        if (!store.alive && store.member.name != settings_.name)
            peers.push_back(peer(store.member.name, false));
    }
    return peers;
}

void StoreNode::Impl::takeOver(PartitionId partition, const StoreView& view, Epoch previous_epoch) {
    OwnedPartition* owned = findOwned(owned_, partition);
    // If this store is the owner in two consecutive views, no other store can have accepted messages in
    // between.
    const bool continuous = owned != nullptr && owned->active && owned->epoch == previous_epoch &&
                            view.epoch == previous_epoch + 1;
    if (owned != nullptr && !continuous) relinquish(partition);
    if (!continuous) {
        auto fresh = std::make_unique<OwnedPartition>(partition, grants_.ready, misplaced_keys_);
        owned = owned_.emplace(partition, std::move(fresh)).first->second.get();
        const PartitionOwner& assignment = view.partitions[partition];
        const bool previous_runs = !assignment.previous_stopped && assignment.previous >= 0 &&
                                   assignment.previous != assignment.owner;
        owned->ceiling_share_from = clock_.now() + (previous_runs ? kPreviousOwnerGrace : Millis(0));
    } else {
        owned->queue.forEach([this](QueueItem& item) {
            if (!acceptor_.inProgress(item.partition, item.id)) item.holders.clear();
        });
        acceptor_.onView(partition);
    }
    owned->epoch = view.epoch;
    owned->last_sequence = 0;
    if (leaving_) awaiting_pull_.insert(partition);
    replica_.forgetOutdated(partition);
    peering_.start(partition, peersOf(partition));
}

void StoreNode::Impl::relinquish(PartitionId partition) {
    OwnedPartition& owned = *findOwned(owned_, partition);
    if (owned.active) {
        FormerGrants& former = former_grants_[partition];
        former = FormerGrants{};
        former.until = clock_.now() + kFormerGrantsRetention;
        owned.queue.forEach([&former](QueueItem& item) {
            if (!item.grant) return;
            former.running.push_back(
                {item.partition, item.id, item.grant->id.attempt, item.grant->id.epoch, item.callback});
        });
    }
    grants_.endAll(owned, clock_.now());
    peering_.cancel(partition);
    owned_.erase(partition);
    acceptor_.abandon(partition);
}

void StoreNode::Impl::onFenced(PartitionId partition) {
    const OwnedPartition* const owned = findOwned(owned_, partition);
    if (owned == nullptr) return;
    scheduler_.post([this, partition, epoch = owned->epoch] {
        const OwnedPartition* const stale = findOwned(owned_, partition);
        if (stale != nullptr && stale->epoch == epoch) relinquish(partition);
    });
}

void StoreNode::Impl::onQuorum(PartitionId partition, const std::vector<RunningAttempt>& running) {
    OwnedPartition* const owned = findOwned(owned_, partition);
    if (owned == nullptr) return;
    if (owned->active) {  // this store was the owner in the previous view too
        owned->queue.forEach([this](QueueItem& item) { addKnownHolders(item); });
        recoverAll(*owned);
        return;
    }
    owned->active = true;
    owned->release_recovered_by = clock_.now() + storage::kMaxRecoveredHold;
    recoverAll(*owned);
    std::vector<RunningAttempt> granted = running;
    const auto former = former_grants_.find(partition);
    if (former != former_grants_.end()) {
        // Grants that were sent to no successor: no other store can have counted results of these attempts.
        const auto& own = former->second;
        if (own.successor == 0) granted.insert(granted.end(), own.running.begin(), own.running.end());
        former_grants_.erase(former);
    }
    edge_watch_.onActive(*owned, granted);
    updateLimiterShares();
    granter_.schedule();
}

void StoreNode::Impl::recoverAll(OwnedPartition& owned) {
    std::vector<MessageId> live;
    for (const auto& [id, message] : replica_.messages(owned.id)) {
        if (message.live() || owned.queue.find(id) != nullptr) live.push_back(id);
    }
    onMerged(owned.id, live);
}

void StoreNode::Impl::onMerged(PartitionId partition, const std::vector<MessageId>& touched) {
    OwnedPartition* const owned = findActive(owned_, partition);
    if (owned == nullptr) return;
    for (const MessageId& id : sortedNewestFirst(partition, touched)) {
        outcomes_.refresh(*owned, id);
        QueueItem* const item = owned->queue.find(id);
        if (item == nullptr) continue;
        addKnownHolders(*item);
        if (item->state != storage::ItemState::storing) outcomes_.applyConfiguration(*owned, *item);
    }
    outcomes_.endExpired(*owned);  // before any of the messages is granted
    granter_.schedule();
}

std::vector<MessageId> StoreNode::Impl::sortedNewestFirst(PartitionId partition, std::vector<MessageId> ids) {
    const auto position = [this, partition](const MessageId& id) {
        const storage::StoredMessage* const message = replica_.find(partition, id);
        return message == nullptr ? storage::OrderPosition{}
                                  : storage::OrderPosition{message->epoch, message->sequence};
    };
    std::sort(ids.begin(), ids.end(),
              [&position](const MessageId& a, const MessageId& b) { return position(a) > position(b); });
    return ids;
}

void StoreNode::Impl::onMisplacedKeysChanged() {
    for (auto& [partition, owned] : owned_) owned->queue.releaseHeld();
    granter_.schedule();
}

void StoreNode::Impl::addKnownHolders(QueueItem& item) {
    for (const std::string& store : peering_.holders(item.partition, item.id)) item.holders.insert(store);
}

void StoreNode::Impl::updateLimiterShares() {
    if (!view_ || view_->partitions.empty()) return;
    double counted = 0;
    double active = 0;
    for (const auto& [partition, owned] : owned_) {
        if (!owned->active) continue;
        ++active;
        if (owned->ceiling_share_from <= clock_.now()) ++counted;
    }
    const auto all = static_cast<double>(view_->partitions.size());
    grants_.limiter.setShares(counted / all, active / all, clock_.now());
}

void StoreNode::Impl::onConfiguration(std::shared_ptr<const Configuration> configuration) {
    if (configuration_ && configuration->generation <= configuration_->generation) return;
    configuration_ = std::move(configuration);
    items_.configure(configuration_.get());
    grants_.limiter.configure(*configuration_);
    for (auto& [partition, owned] : owned_) {
        if (owned->active) outcomes_.applyConfiguration(*owned);
    }
    granter_.schedule();
}

void StoreNode::Impl::onServers(const ServerList& servers) {
    std::map<std::string, std::uint32_t> slots;
    for (const ServerEntry& server : servers.servers) {
        if (!server.draining) slots[server.service] += server.capacity;
    }
    grants_.limiter.setCapacities(slots);
    granter_.schedule();
}

void StoreNode::Impl::leave(std::function<void()> done) {
    if (std::exchange(leaving_, true)) return;
    on_left_ = std::move(done);
    acceptor_.stop();
    granter_.stop();
    for (const auto& [partition, owned] : owned_) awaiting_pull_.insert(partition);
    const Millis wait = std::max(Millis(0), settings_.bounds.grace - kExitMargin);
    grace_timer_ = scheduler_.after(wait, [this] {
        if (on_left_) std::exchange(on_left_, nullptr)();
    });
}

void StoreNode::Impl::finishLeaving() {
    if (!leaving_ || successors_done_) return;
    if (!awaiting_pull_.empty() || acceptor_.inProgress() > 0 || !replicator_.idle()) return;
    successors_done_ = true;
    grace_timer_ = scheduler_.after(kLastAnswerDelay, [this] {
        if (on_left_) std::exchange(on_left_, nullptr)();
    });
}

}  // namespace amberswitch::cluster
