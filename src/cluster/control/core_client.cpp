#include "cluster/control/core_client.hpp"

#include <glog/logging.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <utility>

#include "cluster/common/configuration_update.hpp"
#include "cluster/control/configuration_assembler.hpp"
#include "cluster/control/lease_times.hpp"
#include "cluster/control/lifetime.hpp"
#include "cluster/control/typed_call.hpp"

namespace amberswitch::cluster {
namespace {

constexpr Millis kLeaveRenewInterval{100};
constexpr Millis kRenewTimeout{400};
constexpr Millis kWatchWait{1000};
constexpr Millis kWatchTimeout{1600};
constexpr Millis kNextWatchPause{5};        // bounds the rate, whatever is answered
constexpr std::int64_t kAllFailedMs = 100;  // shortest pause after all core machines failed in turn; doubles
constexpr int kAllFailedDoublings = 2;
constexpr Millis kEdgeCountKept{2000};    // a count of edges that counts
constexpr Millis kWatchTellsWithin{200};  // what is newer than what the caller has
constexpr int kMissesToMove = 2;          // renewals missed in a row by the machine that is being watched
constexpr Millis kNamesKept{5000};        // the core machines that one of them named count for this long
constexpr int kMissesOfStaleSeed = 10;    // a seed that nobody names any more is then asked rarely
constexpr int kStaleSeedEvery = 20;       // renewals

}  // namespace

class CoreClient::Impl {
public:
    Impl(Scheduler& scheduler, Transport& transport, Member self, std::vector<NodeAddress> core,
         NodeLocations& locations, Callbacks callbacks);

    void start();
    void leave();
    void setDiskFailed(bool failed);
    void setSeeds(std::vector<NodeAddress> core);

    std::shared_ptr<const Configuration> configuration() const { return configuration_; }
    std::shared_ptr<const ServerList> servers() const { return servers_; }
    std::shared_ptr<const StoreView> view() const { return view_; }
    EdgeShare edgeShare() const;
    std::optional<SteadyTime> lastContact() const { return last_contact_; }
    std::vector<NodeAddress> coreMachines() const;

private:
    // What is known of one core machine.
    struct CoreMachine {
        std::optional<SteadyTime> last_answer;
        EdgeShare share{0, 0, 0};  // of this process, as it told last
        int missed_renewals = 0;
        std::vector<NodeAddress> named;  // the core machines that it told last
        std::uint64_t named_digest = 0;
    };

    std::vector<NodeAddress> addresses() const;
    std::set<NodeAddress> namedLately() const;
    bool isStaleSeed(const NodeAddress& seed) const;
    void forgetUnnamed();
    bool answeredLately(const NodeAddress& address) const;

    void renewAll();
    bool restsNow(const NodeAddress& address) const;
    void renewAt(const NodeAddress& address);
    void onRenewed(const NodeAddress& address, const std::optional<RenewLeaseReply>& reply);
    bool isFetching() const;
    void followNewer(const NodeAddress& address, const RenewLeaseReply& reply);
    void leaveSilentMachine(const NodeAddress& address);

    void watchNext();
    void watchAt(const NodeAddress& address);
    void onWatched(std::uint64_t serial, const NodeAddress& address, std::optional<WatchReply> reply);
    Distance distanceTo(const NodeAddress& address) const;
    // A core machine that answers renewals and is nearer than the one that is watched.
    std::optional<NodeAddress> nearerThan(const NodeAddress& watched) const;
    void planRound();
    void planRoundWithout(const NodeAddress& failed);

    void take(WatchReply reply);
    void takePage(const ConfigurationPage& page);
    void takeUpdate(const ConfigurationPage& last_page, const std::string& bytes);
    void takeServers(ServerList servers);
    void takeView(StoreView view);

    Scheduler& scheduler_;
    Transport& transport_;
    Member self_;
    std::vector<NodeAddress> seeds_;
    NodeLocations& locations_;
    Callbacks callbacks_;
    std::mt19937_64 random_;

    std::map<NodeAddress, CoreMachine> machines_;
    std::set<NodeAddress> last_named_;  // kept while no core machine answers
    std::uint64_t renewals_ = 0;
    EdgeShare last_share_;  // kept while no core machine can tell
    std::optional<SteadyTime> last_contact_;
    std::vector<NodeAddress> round_;  // machines to watch next, the next one last
    bool follows_ = false;            // the machine that is watched has answered a watch before
    int failed_rounds_ = 0;           // in a row
    std::optional<NodeAddress> watched_;
    SteadyTime watched_since_{};
    std::uint64_t watch_serial_ = 0;  // answers to earlier watches move nothing on

    std::int64_t seen_generation_ = 0;  // also of a configuration that could not be used
    ConfigurationAssembler assembler_;
    SteadyTime last_page_at_{};
    ConfigurationVersion update_base_;  // of `configuration_`; none after an update that could not be applied
    std::shared_ptr<const Configuration> configuration_;
    std::shared_ptr<const ServerList> servers_;
    std::shared_ptr<const StoreView> view_;
    TimerHandle renew_timer_;
    TimerHandle watch_timer_;
    Lifetime lifetime_;
};

CoreClient::Impl::Impl(Scheduler& scheduler, Transport& transport, Member self, std::vector<NodeAddress> core,
                       NodeLocations& locations, Callbacks callbacks)
    : scheduler_(scheduler),
      transport_(transport),
      self_(std::move(self)),
      seeds_(std::move(core)),
      locations_(locations),
      callbacks_(std::move(callbacks)),
      random_(self_.incarnation) {}

void CoreClient::Impl::start() {
    renewAll();
    watchNext();
}

void CoreClient::Impl::leave() {
    self_.leaving = true;
    renewAll();
}

void CoreClient::Impl::setDiskFailed(bool failed) {
    if (std::exchange(self_.disk_failed, failed) == failed) return;
    if (renew_timer_) renewAll();  // else it has not started yet
}

void CoreClient::Impl::setSeeds(std::vector<NodeAddress> core) {
    if (core == seeds_) return;
    seeds_ = std::move(core);
    for (const NodeAddress& seed : seeds_) machines_[seed].missed_renewals = 0;
}

std::vector<NodeAddress> CoreClient::Impl::addresses() const {
    std::set<NodeAddress> all = namedLately();
    if (all.empty()) all = last_named_;
    for (const NodeAddress& seed : seeds_) {
        if (!isStaleSeed(seed) || renewals_ % kStaleSeedEvery == 0) all.insert(seed);
    }
    return {all.begin(), all.end()};
}

// All that core machines told which answered lately, they themselves included.
std::set<NodeAddress> CoreClient::Impl::namedLately() const {
    std::set<NodeAddress> named;
    for (const auto& [address, machine] : machines_) {
        if (!machine.last_answer || scheduler_.now() - *machine.last_answer > kNamesKept) continue;
        named.insert(address);
        named.insert(machine.named.begin(), machine.named.end());
    }
    return named;
}

// A machine that was replaced: silent for long, while others answer that don't name it.
bool CoreClient::Impl::isStaleSeed(const NodeAddress& seed) const {
    const auto found = machines_.find(seed);
    if (found == machines_.end() || found->second.missed_renewals < kMissesOfStaleSeed) return false;
    const std::set<NodeAddress> named = namedLately();
    return !named.empty() && !named.contains(seed);
}

void CoreClient::Impl::forgetUnnamed() {
    const std::set<NodeAddress> named = namedLately();
    if (named.empty()) return;
    last_named_ = named;
    std::erase_if(machines_, [&](const auto& entry) {
        const bool is_seed = std::find(seeds_.begin(), seeds_.end(), entry.first) != seeds_.end();
        return !is_seed && !named.contains(entry.first);
    });
}

EdgeShare CoreClient::Impl::edgeShare() const {
    EdgeShare most{0, 0, 0};
    for (const auto& [address, machine] : machines_) {
        const bool counts = machine.last_answer && scheduler_.now() - *machine.last_answer <= kEdgeCountKept;
        if (counts) most = std::max(most, machine.share);
    }
    return most.edges == 0 ? last_share_ : most;
}

bool CoreClient::Impl::answeredLately(const NodeAddress& address) const {
    const auto found = machines_.find(address);
    if (found == machines_.end() || !found->second.last_answer) return false;
    return scheduler_.now() - *found->second.last_answer <= kRecentReplyWindow;
}

std::vector<NodeAddress> CoreClient::Impl::coreMachines() const {
    std::vector<NodeAddress> machines = addresses();
    std::stable_partition(machines.begin(), machines.end(),
                          [this](const NodeAddress& address) { return answeredLately(address); });
    return machines;
}

// --- The lease ---------------------------------------------------------------------------------------------

void CoreClient::Impl::renewAll() {
    ++renewals_;
    forgetUnnamed();
    for (const NodeAddress& address : addresses()) {
        if (!restsNow(address)) renewAt(address);
    }
    Millis pause = self_.kind == NodeKind::store ? kStoreRenewInterval : kEdgeRenewInterval;
    if (self_.leaving) pause = kLeaveRenewInterval;
    renew_timer_ = scheduler_.after(pause, [this] { renewAll(); });
}

// A dispatcher's lease lasts for several renewals: core machines of other regions hear every second one.
bool CoreClient::Impl::restsNow(const NodeAddress& address) const {
    if (self_.kind != NodeKind::edge || self_.leaving || renewals_ % kRemoteRenewIntervals == 0) return false;
    const auto found = machines_.find(address);
    const bool answers =
        found != machines_.end() && found->second.last_answer && found->second.missed_renewals == 0;
    return answers && watched_ != address && locations_.distanceTo(address) == Distance::other_region;
}

void CoreClient::Impl::renewAt(const NodeAddress& address) {
    RenewLeaseRequest request;
    request.member = self_;
    request.view_epoch = view_ ? view_->epoch : 0;
    request.config_generation = configuration_ ? configuration_->generation : 0;
    const auto known = machines_.find(address);
    if (known != machines_.end()) request.core_digest = known->second.named_digest;
    const auto done = [this, address](const std::optional<RenewLeaseReply>& reply) {
        onRenewed(address, reply);
    };
    callFor<RenewLeaseReply>(transport_, address, MessageKind::renew_lease, request, kRenewTimeout,
                             lifetime_.guard(done));
}

void CoreClient::Impl::onRenewed(const NodeAddress& address, const std::optional<RenewLeaseReply>& reply) {
    CoreMachine& machine = machines_[address];
    if (!reply) {
        ++machine.missed_renewals;
        return leaveSilentMachine(address);
    }
    machine.missed_renewals = 0;
    machine.last_answer = last_contact_ = scheduler_.now();
    machine.share = reply->share;
    last_share_ = edgeShare();
    if (reply->core_digest == 0 || reply->core_digest != machine.named_digest) {
        machine.named = reply->core;
        machine.named_digest = reply->core_digest;
    }
    locations_.setZone(address, reply->zone);
    followNewer(address, *reply);
}

// Pages of an update come in from the machine that is watched.
bool CoreClient::Impl::isFetching() const {
    return assembler_.isUnderWay() && scheduler_.now() - last_page_at_ < kWatchWait;
}

// The machine that is watched may be cut off from the rest of the core, or from here, without being silent.
void CoreClient::Impl::followNewer(const NodeAddress& address, const RenewLeaseReply& reply) {
    const Epoch epoch = view_ ? view_->epoch : 0;
    const bool newer = reply.config_generation > seen_generation_ || reply.view_epoch > epoch;
    const bool is_watched = watched_ == address && scheduler_.now() - watched_since_ < kWatchTellsWithin;
    if (!newer || is_watched || isFetching()) return;
    watch_timer_.reset();
    planRoundWithout(address);
    watchAt(address);
}

// A machine without power never breaks the connection: the renewals tell sooner than the timeout of the
// watch.
void CoreClient::Impl::leaveSilentMachine(const NodeAddress& address) {
    if (watched_ != address || machines_[address].missed_renewals < kMissesToMove) return;
    const std::vector<NodeAddress> all = addresses();
    const bool better = std::any_of(all.begin(), all.end(), [&](const NodeAddress& other) {
        return other != address && machines_[other].missed_renewals == 0 && answeredLately(other);
    });
    if (!better) return;
    planRoundWithout(address);
    watchNext();
}

// --- The watch ---------------------------------------------------------------------------------------------

// A random order, with those that have answered lately before the others, and the nearer ones first.
void CoreClient::Impl::planRound() {
    round_ = addresses();
    std::shuffle(round_.begin(), round_.end(), random_);
    std::stable_sort(round_.begin(), round_.end(), [this](const NodeAddress& left, const NodeAddress& right) {
        return distanceTo(left) > distanceTo(right);
    });
    std::stable_partition(round_.begin(), round_.end(),
                          [this](const NodeAddress& address) { return !answeredLately(address); });
}

Distance CoreClient::Impl::distanceTo(const NodeAddress& address) const {
    return locations_.distanceTo(address).value_or(Distance::other_region);
}

std::optional<NodeAddress> CoreClient::Impl::nearerThan(const NodeAddress& watched) const {
    for (const auto& [address, machine] : machines_) {
        const bool answers = machine.missed_renewals == 0 && answeredLately(address);
        if (answers && distanceTo(address) < distanceTo(watched)) return address;
    }
    return std::nullopt;
}

void CoreClient::Impl::planRoundWithout(const NodeAddress& failed) {
    planRound();
    std::erase(round_, failed);
}

void CoreClient::Impl::watchNext() {
    if (round_.empty()) planRound();
    if (round_.empty()) {
        watch_timer_ = scheduler_.after(Millis(kAllFailedMs), [this] { watchNext(); });
        return;
    }
    const NodeAddress next = round_.back();
    round_.pop_back();
    watchAt(next);
}

void CoreClient::Impl::watchAt(const NodeAddress& address) {
    watched_ = address;
    watched_since_ = scheduler_.now();
    const std::uint64_t serial = ++watch_serial_;
    WatchRequest request;
    request.name = self_.name;
    request.config_generation = seen_generation_;
    request.servers = servers_ ? servers_->version : ServerListVersion{};
    request.view_epoch = view_ ? view_->epoch : 0;
    request.max_wait_ms = kWatchWait.count();
    request.config_base = update_base_;
    request.config_progress = assembler_.progress();
    const auto done = [this, serial, address](std::optional<WatchReply> reply) {
        onWatched(serial, address, std::move(reply));
    };
    callFor<WatchReply>(transport_, address, MessageKind::watch, request, kWatchTimeout,
                        lifetime_.guard(done));
}

void CoreClient::Impl::onWatched(std::uint64_t serial, const NodeAddress& address,
                                 std::optional<WatchReply> reply) {
    const bool answered = reply.has_value();
    const bool is_late = serial != watch_serial_;
    // What was given up for another watch must not throw away the pages that have come since.
    if (answered && is_late && assembler_.isUnderWay()) reply->config.reset();
    if (answered) take(std::move(*reply));
    if (is_late) return;
    if (answered) {
        follows_ = true;
        failed_rounds_ = 0;
        const NodeAddress next = nearerThan(address).value_or(address);
        watch_timer_ = scheduler_.after(kNextWatchPause, [this, next] { watchAt(next); });
        return;
    }
    if (std::exchange(follows_, false)) planRoundWithout(address);
    if (!round_.empty()) return watchNext();
    const std::int64_t pause = kAllFailedMs << std::min(failed_rounds_++, kAllFailedDoublings);
    const std::int64_t extra = std::uniform_int_distribution<std::int64_t>(0, kAllFailedMs)(random_);
    watch_timer_ = scheduler_.after(Millis(pause + extra), [this] { watchNext(); });
}

void CoreClient::Impl::take(WatchReply reply) {
    if (reply.config) takePage(*reply.config);
    if (reply.view) takeView(std::move(*reply.view));
    if (reply.servers) takeServers(std::move(*reply.servers));
}

void CoreClient::Impl::takePage(const ConfigurationPage& page) {
    if (page.configuration.generation <= seen_generation_) return;
    last_page_at_ = scheduler_.now();
    const std::optional<std::string> bytes = assembler_.add(page);
    if (bytes) takeUpdate(page, *bytes);
}

void CoreClient::Impl::takeUpdate(const ConfigurationPage& last_page, const std::string& bytes) {
    const std::int64_t generation = last_page.configuration.generation;
    const bool whole = last_page.base_generation == 0;
    try {
        const std::optional<ConfigurationUpdate> update = decodeUpdate(bytes);
        if (!update) throw ConfigurationError("update", "it can't be read");
        configuration_ = std::make_shared<const Configuration>(applyUpdate(configuration_.get(), *update));
    } catch (const ConfigurationError& error) {
        LOG(ERROR) << "configuration " << generation << (whole ? " is skipped: " : " is asked for whole: ")
                   << error.what();
        update_base_ = {};
        if (whole) seen_generation_ = generation;
        return;
    }
    seen_generation_ = generation;
    update_base_ = last_page.configuration;
    if (callbacks_.on_configuration) callbacks_.on_configuration(configuration_);
}

void CoreClient::Impl::takeServers(ServerList servers) {
    if (servers_ && servers.version <= servers_->version) return;
    servers_ = std::make_shared<const ServerList>(std::move(servers));
    if (callbacks_.on_servers) callbacks_.on_servers(servers_);
}

void CoreClient::Impl::takeView(StoreView view) {
    const auto order = [](const StoreView& of) { return std::pair(of.epoch, of.leader_term); };
    if (view_ && order(view) <= order(*view_)) return;
    view_ = std::make_shared<const StoreView>(std::move(view));
    for (const StoreMember& store : view_->stores)
        locations_.setZone(store.member.address, store.member.zone);
    if (callbacks_.on_view) callbacks_.on_view(view_);
}

CoreClient::CoreClient(Scheduler& scheduler, Transport& transport, Member self, std::vector<NodeAddress> core,
                       NodeLocations& locations, Callbacks callbacks)
    : impl_(std::make_unique<Impl>(scheduler, transport, std::move(self), std::move(core), locations,
                                   std::move(callbacks))) {}

CoreClient::~CoreClient() = default;

void CoreClient::start() {
    impl_->start();
}

void CoreClient::leave() {
    impl_->leave();
}

void CoreClient::setDiskFailed(bool failed) {
    impl_->setDiskFailed(failed);
}

void CoreClient::setSeeds(std::vector<NodeAddress> core) {
    impl_->setSeeds(std::move(core));
}

std::shared_ptr<const Configuration> CoreClient::configuration() const {
    return impl_->configuration();
}

std::shared_ptr<const ServerList> CoreClient::servers() const {
    return impl_->servers();
}

std::shared_ptr<const StoreView> CoreClient::view() const {
    return impl_->view();
}

EdgeShare CoreClient::edgeShare() const {
    return impl_->edgeShare();
}

std::vector<NodeAddress> CoreClient::coreMachines() const {
    return impl_->coreMachines();
}

std::optional<SteadyTime> CoreClient::lastContact() const {
    return impl_->lastContact();
}

}  // namespace amberswitch::cluster
