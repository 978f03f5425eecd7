#include "cluster/control/core_client.hpp"

#include <glog/logging.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <utility>

#include "cluster/common/configuration_update.hpp"
#include "cluster/common/typed_call.hpp"
#include "cluster/control/configuration_assembler.hpp"
#include "cluster/control/lease_times.hpp"
#include "cluster/control/lifetime.hpp"

namespace amberswitch::cluster {
namespace {

constexpr Millis kLeaveRenewInterval{100};
constexpr Millis kRenewTimeout{400};
constexpr Millis kWatchWait{1000};
constexpr Millis kWatchTimeout{1600};
constexpr Millis kWatchPause{5};                   // limits the rate when watches are answered immediately
constexpr std::int64_t kAllFailedBackoffMs = 100;  // initial back-off after all core machines failed in turn
constexpr int kMaxBackoffDoublings = 2;
constexpr Millis kEdgeShareRetention{2000};  // reported shares older than this are ignored
// Within it, the watched machine itself is expected to send newer content.
constexpr Millis kWatchAnswerGrace{200};
constexpr int kMissedRenewalsToSwitch = 2;  // in a row, by the watched machine
// A list of core machines is used this long after the last answer of its sender.
constexpr Millis kCoreListRetention{5000};
constexpr int kMissedRenewalsOfStaleSeed = 10;  // a seed that no core machine lists is then contacted rarely
constexpr int kStaleSeedRenewInterval = 20;     // in renewal rounds

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
    // State of one core machine.
    struct CoreMachine {
        std::optional<SteadyTime> last_answer;
        EdgeShare share{0, 0, 0};  // of this process, from the last answer
        int missed_renewals = 0;
        std::vector<NodeAddress> reported_core;  // the core machines that it listed last
        std::uint64_t reported_core_digest = 0;
    };

    std::vector<NodeAddress> addresses() const;
    std::set<NodeAddress> recentlyReportedCore() const;
    bool isStaleSeed(const NodeAddress& seed) const;
    void forgetUnreported();
    bool answeredRecently(const NodeAddress& address) const;

    void renewAll();
    bool skipsRenewal(const NodeAddress& address) const;
    void renewAt(const NodeAddress& address);
    void onRenewed(const NodeAddress& address, const std::optional<RenewLeaseReply>& reply);
    bool isFetching() const;
    void switchToNewer(const NodeAddress& address, const RenewLeaseReply& reply);
    void switchFromUnresponsive(const NodeAddress& address);

    void watchNext();
    void watchAt(const NodeAddress& address);
    void onWatched(std::uint64_t serial, const NodeAddress& address, std::optional<WatchReply> reply);
    Distance distanceTo(const NodeAddress& address) const;
    // A core machine that answers renewals and is nearer than the watched one.
    std::optional<NodeAddress> findNearerThan(const NodeAddress& watched) const;
    void planWatchCandidates();
    void planWatchCandidatesWithout(const NodeAddress& failed);

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
    std::set<NodeAddress> last_reported_core_;  // used while no core machine answers
    std::uint64_t renewal_rounds_ = 0;
    EdgeShare last_share_;  // used while no core machine reports one
    std::optional<SteadyTime> last_contact_;
    std::vector<NodeAddress> watch_candidates_;  // untried machines of this round, the next one last
    bool watch_established_ = false;             // the watched machine has answered a watch before
    int failed_rounds_ = 0;                      // in a row
    std::optional<NodeAddress> watched_;
    SteadyTime watched_since_{};
    std::uint64_t watch_serial_ = 0;  // a late answer to an earlier watch does not start the next watch

    std::int64_t seen_generation_ = 0;  // includes configurations that were skipped as invalid
    ConfigurationAssembler assembler_;
    SteadyTime last_page_at_{};
    // Version of `configuration_`; reset after an update that could not be applied.
    ConfigurationVersion update_base_;
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
    if (renew_timer_) renewAll();  // unset before start()
}

void CoreClient::Impl::setSeeds(std::vector<NodeAddress> core) {
    if (core == seeds_) return;
    seeds_ = std::move(core);
    for (const NodeAddress& seed : seeds_) machines_[seed].missed_renewals = 0;
}

std::vector<NodeAddress> CoreClient::Impl::addresses() const {
    std::set<NodeAddress> all = recentlyReportedCore();
    if (all.empty()) all = last_reported_core_;
    for (const NodeAddress& seed : seeds_) {
        if (!isStaleSeed(seed) || renewal_rounds_ % kStaleSeedRenewInterval == 0) all.insert(seed);
    }
    return {all.begin(), all.end()};
}

// The core machines that answered recently, and all machines that they listed.
std::set<NodeAddress> CoreClient::Impl::recentlyReportedCore() const {
    std::set<NodeAddress> reported_core;
    for (const auto& [address, machine] : machines_) {
        if (!machine.last_answer || scheduler_.now() - *machine.last_answer > kCoreListRetention) continue;
        reported_core.insert(address);
        reported_core.insert(machine.reported_core.begin(), machine.reported_core.end());
    }
    return reported_core;
}

// A seed that was probably replaced: it misses renewals, while machines that do answer don't list it.
bool CoreClient::Impl::isStaleSeed(const NodeAddress& seed) const {
    const auto found = machines_.find(seed);
    if (found == machines_.end() || found->second.missed_renewals < kMissedRenewalsOfStaleSeed) return false;
    const std::set<NodeAddress> reported_core = recentlyReportedCore();
    return !reported_core.empty() && !reported_core.contains(seed);
}

void CoreClient::Impl::forgetUnreported() {
    const std::set<NodeAddress> reported_core = recentlyReportedCore();
    if (reported_core.empty()) return;
    last_reported_core_ = reported_core;
    std::erase_if(machines_, [&](const auto& entry) {
        const bool is_seed = std::find(seeds_.begin(), seeds_.end(), entry.first) != seeds_.end();
        return !is_seed && !reported_core.contains(entry.first);
    });
}

EdgeShare CoreClient::Impl::edgeShare() const {
    EdgeShare most{0, 0, 0};
    for (const auto& [address, machine] : machines_) {
        const bool counts =
            machine.last_answer && scheduler_.now() - *machine.last_answer <= kEdgeShareRetention;
        if (counts) most = std::max(most, machine.share);
    }
    return most.edges == 0 ? last_share_ : most;
}

bool CoreClient::Impl::answeredRecently(const NodeAddress& address) const {
    const auto found = machines_.find(address);
    if (found == machines_.end() || !found->second.last_answer) return false;
    return scheduler_.now() - *found->second.last_answer <= kRecentReplyWindow;
}

std::vector<NodeAddress> CoreClient::Impl::coreMachines() const {
    std::vector<NodeAddress> machines = addresses();
    std::stable_partition(machines.begin(), machines.end(),
                          [this](const NodeAddress& address) { return answeredRecently(address); });
    return machines;
}

// --- Lease renewal -----------------------------------------------------------------------------------------

void CoreClient::Impl::renewAll() {
    ++renewal_rounds_;
    forgetUnreported();
    for (const NodeAddress& address : addresses()) {
        if (!skipsRenewal(address)) renewAt(address);
    }
    Millis pause = self_.kind == NodeKind::store ? kStoreRenewInterval : kEdgeRenewInterval;
    if (self_.leaving) pause = kLeaveRenewInterval;
    renew_timer_ = scheduler_.after(pause, [this] { renewAll(); });
}

// A dispatcher's lease outlasts several renewals, so core machines in other regions get only every second
// one.
bool CoreClient::Impl::skipsRenewal(const NodeAddress& address) const {
    if (self_.kind != NodeKind::edge || self_.leaving || renewal_rounds_ % kRemoteRenewIntervals == 0)
        return false;
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
    if (known != machines_.end()) request.core_digest = known->second.reported_core_digest;
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
        return switchFromUnresponsive(address);
    }
    machine.missed_renewals = 0;
    machine.last_answer = last_contact_ = scheduler_.now();
    machine.share = reply->share;
    last_share_ = edgeShare();
    if (reply->core_digest == 0 || reply->core_digest != machine.reported_core_digest) {
        machine.reported_core = reply->core;
        machine.reported_core_digest = reply->core_digest;
    }
    locations_.setZone(address, reply->zone);
    switchToNewer(address, *reply);
}

// Whether pages of an update are arriving from the watched machine.
bool CoreClient::Impl::isFetching() const {
    return assembler_.isInProgress() && scheduler_.now() - last_page_at_ < kWatchWait;
}

// Watches the machine that reported newer versions in a renewal: the watched machine may be partitioned from
// the rest of the core, or from this process, while it still answers.
void CoreClient::Impl::switchToNewer(const NodeAddress& address, const RenewLeaseReply& reply) {
    const Epoch epoch = view_ ? view_->epoch : 0;
    const bool newer = reply.config_generation > seen_generation_ || reply.view_epoch > epoch;
    const bool is_watched = watched_ == address && scheduler_.now() - watched_since_ < kWatchAnswerGrace;
    if (!newer || is_watched || isFetching()) return;
    watch_timer_.reset();
    planWatchCandidatesWithout(address);
    watchAt(address);
}

// A machine that lost power never closes its connection. Missed renewals reveal that sooner than the time-out
// of the watch.
void CoreClient::Impl::switchFromUnresponsive(const NodeAddress& address) {
    if (watched_ != address || machines_[address].missed_renewals < kMissedRenewalsToSwitch) return;
    const std::vector<NodeAddress> all = addresses();
    const bool better = std::any_of(all.begin(), all.end(), [&](const NodeAddress& other) {
        return other != address && machines_[other].missed_renewals == 0 && answeredRecently(other);
    });
    if (!better) return;
    planWatchCandidatesWithout(address);
    watchNext();
}

// --- The watch ---------------------------------------------------------------------------------------------

// Random order; machines that answered recently come before the others, and among them the nearer ones first.
void CoreClient::Impl::planWatchCandidates() {
    watch_candidates_ = addresses();
    std::shuffle(watch_candidates_.begin(), watch_candidates_.end(), random_);
    std::stable_sort(watch_candidates_.begin(), watch_candidates_.end(),
                     [this](const NodeAddress& left, const NodeAddress& right) {
                         return distanceTo(left) > distanceTo(right);
                     });
    std::stable_partition(watch_candidates_.begin(), watch_candidates_.end(),
                          [this](const NodeAddress& address) { return !answeredRecently(address); });
}

Distance CoreClient::Impl::distanceTo(const NodeAddress& address) const {
    return locations_.distanceTo(address).value_or(Distance::other_region);
}

std::optional<NodeAddress> CoreClient::Impl::findNearerThan(const NodeAddress& watched) const {
    for (const auto& [address, machine] : machines_) {
        const bool answers = machine.missed_renewals == 0 && answeredRecently(address);
        if (answers && distanceTo(address) < distanceTo(watched)) return address;
    }
    return std::nullopt;
}

void CoreClient::Impl::planWatchCandidatesWithout(const NodeAddress& failed) {
    planWatchCandidates();
    std::erase(watch_candidates_, failed);
}

void CoreClient::Impl::watchNext() {
    if (watch_candidates_.empty()) planWatchCandidates();
    if (watch_candidates_.empty()) {
        watch_timer_ = scheduler_.after(Millis(kAllFailedBackoffMs), [this] { watchNext(); });
        return;
    }
    const NodeAddress next = watch_candidates_.back();
    watch_candidates_.pop_back();
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
    // A late page from an abandoned watch must not discard the pages received since.
    if (answered && is_late && assembler_.isInProgress()) reply->config.reset();
    if (answered) take(std::move(*reply));
    if (is_late) return;
    if (answered) {
        watch_established_ = true;
        failed_rounds_ = 0;
        const NodeAddress next = findNearerThan(address).value_or(address);
        watch_timer_ = scheduler_.after(kWatchPause, [this, next] { watchAt(next); });
        return;
    }
    if (std::exchange(watch_established_, false)) planWatchCandidatesWithout(address);
    if (!watch_candidates_.empty()) return watchNext();
    const std::int64_t pause = kAllFailedBackoffMs << std::min(failed_rounds_++, kMaxBackoffDoublings);
    const std::int64_t extra = std::uniform_int_distribution<std::int64_t>(0, kAllFailedBackoffMs)(random_);
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
        if (!update) throw ConfigurationError("update", "it can't be decoded");
        configuration_ = std::make_shared<const Configuration>(applyUpdate(configuration_.get(), *update));
    } catch (const ConfigurationError& error) {
        LOG(ERROR) << "update to configuration " << generation
                   << (whole ? " is invalid and skipped: " : " failed; requesting the full configuration: ")
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
