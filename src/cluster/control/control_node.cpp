#include "cluster/control/control_node.hpp"

#include <glog/logging.h>
#include <xxhash.h>

#include <algorithm>
#include <optional>
#include <set>
#include <utility>

#include "cluster/common/codec.hpp"
#include "cluster/common/typed_call.hpp"
#include "cluster/control/chosen_values.hpp"
#include "cluster/control/configuration_reader.hpp"
#include "cluster/control/control_status.hpp"
#include "cluster/control/distribution.hpp"
#include "cluster/control/leader_election.hpp"
#include "cluster/control/lease_times.hpp"
#include "cluster/control/lifetime.hpp"
#include "cluster/control/membership.hpp"
#include "cluster/control/operator_api.hpp"
#include "cluster/control/register_proposer.hpp"
#include "cluster/control/register_values.hpp"
#include "cluster/control/register_voter.hpp"
#include "cluster/control/server_poller.hpp"
#include "cluster/control/server_relay.hpp"
#include "cluster/control/store_view_manager.hpp"
#include "cluster/control/voter_recovery.hpp"
#include "cluster/control/voter_set_manager.hpp"

namespace amberswitch::cluster {
namespace {

constexpr Millis kRenewTimeout{400};
// After the start, before shares of edges are reported: not all edges have renewed yet.
constexpr Millis kEdgeCountDelay{1000};
constexpr Millis kLeaveGracePeriod{100};  // lets the messages that announce the leave reach the others
// A leader whose disk fails for longer gives up its lease: it can't vote, so it can't change the voter set
// either.
constexpr Millis kMaxLeadWithoutDisk{1000};

}  // namespace

class ControlNode::Impl {
public:
    Impl(Scheduler& scheduler, Transport& transport, HttpClient& cloud, RecordStore& disk,
         const NodeSettings& settings, Incarnation incarnation);

    void start();
    void handleHttp(const HttpRequest& request, HttpResponder respond) {
        operator_api_.handle(request, std::move(respond));
    }
    void leave(std::function<void()> done);
    void setSeeds(const std::vector<NodeAddress>& seeds) { settings_.seeds = seeds; }
    std::string statusJson() const;
    std::string metricsText() const {
        return metricsAsText(
            {settings_, voter_, chosen_, election_, store_view_manager_, membership_, distribution_});
    }

private:
    NodeAddress self() const { return settings_.internalAddress(PortOffset::core); }
    std::vector<NodeAddress> seedAddresses() const;
    std::vector<NodeAddress> coreAddresses() const;
    static std::uint32_t toleratedFailures(const FaultTolerance& tolerance);
    static std::uint64_t digestOf(const std::vector<NodeAddress>& addresses);
    std::vector<NodeAddress> peers() const;
    std::optional<NodeAddress> leaderAddress() const;
    std::string leaderName() const;
    std::string acceptedLeader() const;
    Member ownMember() const;

    void connectModules();
    void serve(const Envelope& request, const Responder& respond);
    void renewAtPeers();
    void onRegisterChange(const std::string& key);
    void onDiskHealth(bool healthy);
    bool mayLead() const;
    RenewLeaseReply onRenew(const RenewLeaseRequest& request);

    // Decodes a request, passes it to `handler` and sends the result.
    template <class Request, class Handler>
    void replyTo(const Envelope& request, const Responder& respond, Handler handler);

    Scheduler& scheduler_;
    Transport& transport_;
    RecordStore& disk_;
    NodeSettings settings_;
    Incarnation incarnation_;
    SteadyTime started_at_;
    std::optional<SteadyTime> disk_failed_since_;
    RegisterVoter voter_;
    RegisterProposer proposer_;
    VoterRecovery recovery_;
    ChosenValues chosen_;
    Membership membership_;
    LeaderElection election_;
    StoreViewManager store_view_manager_;
    VoterSetManager voter_set_manager_;
    Distribution distribution_;
    std::optional<ServerPoller> poller_;
    ServerRelay relay_;
    OperatorApi operator_api_;
    std::set<std::string> unreadable_keys_;  // keys whose newest value can't be decoded by this version
    bool leaving_ = false;
    TimerHandle renew_timer_;
    TimerHandle leave_timer_;
    Lifetime lifetime_;
};

ControlNode::Impl::Impl(Scheduler& scheduler, Transport& transport, HttpClient& cloud, RecordStore& disk,
                        const NodeSettings& settings, Incarnation incarnation)
    : scheduler_(scheduler),
      transport_(transport),
      disk_(disk),
      settings_(settings),
      incarnation_(incarnation),
      started_at_(scheduler.now()),
      voter_(disk, self(), seedAddresses(), settings.bootstrap),
      proposer_(scheduler, transport, voter_, settings.name + "#" + std::to_string(incarnation), incarnation),
      recovery_(scheduler, transport, voter_, proposer_, settings.name, [this] { return peers(); }),
      chosen_(scheduler, transport, voter_, proposer_, [this] { return peers(); }),
      membership_(scheduler),
      election_(scheduler, transport, {settings.name, incarnation, self()}, voter_.isFirstStart(),
                {.voters = [this] { return voter_.voters(); },
                 .may_vote = [this] { return !voter_.isFirstStart() || voter_.canVote(); },
                 .last_leader = [this] { return acceptedLeader(); },
                 .voters_version = [this] { return voter_.voterSet().version; },
                 .may_lead = [this] { return mayLead(); }}),
      store_view_manager_(scheduler, transport, proposer_, chosen_, membership_, election_, settings.name,
                          toleratedFailures(settings.tolerance)),
      voter_set_manager_(
          scheduler, transport, voter_, proposer_, membership_, settings.name, settings.tolerance.machines,
          {.is_acting_leader = [this] { return store_view_manager_.isActing(); },
           .peers = [this] { return peers(); },
           .holds_lease_from =
               [this](std::uint64_t version) { return election_.leaseVotersVersion() == version; },
           .renew_lease = [this] { election_.renew(); }},
          {settings.zone, settings.topology, {settings.tolerance.zones, settings.tolerance.regions}}),
      distribution_(
          scheduler,
          {.is_fresh = [this] { return chosen_.isFresh() && unreadable_keys_.empty(); },
           .is_confirmed_since = [this](SteadyTime since) { return chosen_.isConfirmedSince(since); },
           .confirm = [this] { chosen_.requestConfirmation(); }},
          settings.limits.link_mbps),
      relay_(scheduler, transport, settings.name,
             {.leader = [this] { return leaderAddress(); },
              .known =
                  [this] {
                      const ServerList* list = distribution_.servers();
                      return list == nullptr ? ServerListVersion{} : list->version;
                  },
              .learn = [this](ServerList list) { distribution_.setServers(std::move(list)); }}),
      operator_api_(proposer_, {.status = [this] { return statusJson(); },
                                .is_store =
                                    [this](const std::string& name) {
                                        const MemberEntry* entry = membership_.find(name);
                                        return entry != nullptr && entry->member.kind == NodeKind::store;
                                    }}) {
    if (settings_.cloud) {
        poller_.emplace(scheduler, cloud, *settings_.cloud,
                        ServerPoller::Hooks{
                            .may_poll = [this] { return store_view_manager_.isActing(); },
                            .publish = [this](ServerList list) { distribution_.setServers(std::move(list)); },
                            .published = [this] { return distribution_.servers(); }});
    }
    connectModules();
}

void ControlNode::Impl::connectModules() {
    chosen_.onChange([this](const std::string& key) { onRegisterChange(key); });
    chosen_.onConfirmed([this] { distribution_.onConfirmed(); });
    membership_.onChange([this] { store_view_manager_.check(); });
    recovery_.onRecovered([this] { renewAtPeers(); });
    election_.onElected([this] { store_view_manager_.onElected(); });
    election_.onVoterSetChanged([this] { voter_set_manager_.onLeaseGrantedByNewVoters(); });
    store_view_manager_.onClaimed([this](std::uint64_t term) {
        if (poller_) poller_->start(term);
    });
    disk_.onHealthChange(lifetime_.guard([this](bool healthy) { onDiskHealth(healthy); }));
    transport_.serve(lifetime_.guard(
        [this](const Envelope& request, const Responder& respond) { serve(request, respond); }));
}

void ControlNode::Impl::start() {
    recovery_.start();
    chosen_.start();
    election_.start();
    relay_.start();
    voter_set_manager_.start();
    renewAtPeers();
}

std::vector<NodeAddress> ControlNode::Impl::seedAddresses() const {
    std::vector<NodeAddress> addresses;
    for (const NodeAddress& seed : settings_.seeds)
        addresses.push_back({seed.ip, settings_.portOf(PortOffset::core)});
    return addresses;
}

std::vector<NodeAddress> ControlNode::Impl::coreAddresses() const {
    std::set<NodeAddress> addresses(voter_.voters().begin(), voter_.voters().end());
    // If no majority of the known voters answers, the known voter set may be out of date.
    if (!chosen_.isFresh()) {
        const std::vector<NodeAddress> seeds = seedAddresses();
        addresses.insert(seeds.begin(), seeds.end());
    }
    for (const MemberEntry& entry : membership_.live(NodeKind::core)) addresses.insert(entry.member.address);
    return {addresses.begin(), addresses.end()};
}

std::vector<NodeAddress> ControlNode::Impl::peers() const {
    std::vector<NodeAddress> addresses = coreAddresses();
    std::erase(addresses, self());
    return addresses;
}

// Losing a zone or a region means losing at least one machine.
std::uint32_t ControlNode::Impl::toleratedFailures(const FaultTolerance& tolerance) {
    return std::max({tolerance.machines, tolerance.zones, tolerance.regions});
}

std::uint64_t ControlNode::Impl::digestOf(const std::vector<NodeAddress>& addresses) {
    std::string text;
    for (const NodeAddress& address : addresses) text += address.text() + ' ';
    return XXH64(text.data(), text.size(), 0);
}

std::string ControlNode::Impl::leaderName() const {
    const StoreView* view = distribution_.view();
    return view == nullptr ? std::string() : view->leader;
}

std::string ControlNode::Impl::acceptedLeader() const {
    const std::optional<StoreView> view = readStoreView(voter_.acceptedValue(kViewKey));
    return view ? view->leader : std::string();
}

std::optional<NodeAddress> ControlNode::Impl::leaderAddress() const {
    const std::string leader = leaderName();
    const MemberEntry* entry = leader == settings_.name ? nullptr : membership_.find(leader);
    if (entry == nullptr) return std::nullopt;
    return entry->member.address;
}

Member ControlNode::Impl::ownMember() const {
    Member member;
    member.name = settings_.name;
    member.kind = NodeKind::core;
    member.zone = settings_.zone;
    member.address = self();
    member.incarnation = incarnation_;
    member.leaving = leaving_;
    member.bootstrap = settings_.bootstrap;
    member.disk_empty = !voter_.hasData();
    member.disk_failed = !voter_.isDiskHealthy();
    return member;
}

void ControlNode::Impl::renewAtPeers() {
    RenewLeaseRequest request;
    request.member = ownMember();
    request.config_generation = distribution_.configurationGeneration();
    request.view_epoch = distribution_.view() == nullptr ? 0 : distribution_.view()->epoch;
    for (const NodeAddress& peer : peers()) {
        const auto ignore = [](const std::optional<RenewLeaseReply>&) {};
        callFor<RenewLeaseReply>(transport_, peer, MessageKind::renew_lease, request, kRenewTimeout, ignore);
    }
    membership_.expire();
    renew_timer_ = scheduler_.after(kCoreRenewInterval, [this] { renewAtPeers(); });
}

RenewLeaseReply ControlNode::Impl::onRenew(const RenewLeaseRequest& request) {
    membership_.renew(request);
    if (request.member.kind == NodeKind::core) voter_set_manager_.onLeaseRenewed(request.member.name);
    RenewLeaseReply answer;
    answer.zone = settings_.zone;
    answer.leader = store_view_manager_.isActing();
    answer.leader_name = leaderName();
    answer.core = coreAddresses();
    answer.core_digest = digestOf(answer.core);
    if (answer.core_digest == request.core_digest) answer.core.clear();
    const bool has_full_edge_count = scheduler_.now() - started_at_ >= kEdgeCountDelay;
    if (has_full_edge_count) answer.share = membership_.edgeShare(request.member, settings_.topology);
    if (chosen_.isFresh()) {
        answer.config_generation = distribution_.configurationGeneration();
        answer.view_epoch = distribution_.view() == nullptr ? 0 : distribution_.view()->epoch;
    }
    return answer;
}

void ControlNode::Impl::onRegisterChange(const std::string& key) {
    const ChosenValue* value = chosen_.find(key);
    if (value == nullptr) return;
    unreadable_keys_.erase(key);
    if (key == kConfigKey) {
        if (const auto state = readConfigurationState(value->value))
            return distribution_.setConfiguration(*state);
    } else if (auto view = readStoreView(value->value)) {
        store_view_manager_.onView(*view);
        return distribution_.setView(std::move(*view));
    }
    LOG(ERROR) << "the value of " << key << " in the register is not readable; distribution is suspended";
    unreadable_keys_.insert(key);
}

void ControlNode::Impl::onDiskHealth(bool healthy) {
    if (healthy) {
        LOG(INFO) << settings_.name << ": disk works again; resumes voting if it is a voter";
        disk_failed_since_.reset();
        voter_.onDiskHealthy();
    } else {
        LOG(ERROR) << settings_.name << ": disk failed; does not vote until it recovers";
        disk_failed_since_ = scheduler_.now();
    }
    renewAtPeers();
}

bool ControlNode::Impl::mayLead() const {
    return !disk_failed_since_ || scheduler_.now() - *disk_failed_since_ < kMaxLeadWithoutDisk;
}

template <class Request, class Handler>
void ControlNode::Impl::replyTo(const Envelope& request, const Responder& respond, Handler handler) {
    const std::optional<Request> message = decode<Request>(request.body);
    if (message) respond(reply(handler(*message)));
}

void ControlNode::Impl::serve(const Envelope& request, const Responder& respond) {
    const auto kind = static_cast<MessageKind>(request.kind);
    if (kind == kReadVoters) {
        return replyTo<ReadVotersRequest>(request, respond, [this](const ReadVotersRequest&) {
            return ReadVotersReply{voter_.voterSet()};
        });
    }
    switch (kind) {
        case MessageKind::register_prepare:
            if (const auto message = decode<PrepareRequest>(request.body)) {
                voter_.prepare(*message, [respond](const PrepareReply& answer) { respond(reply(answer)); });
            }
            return;
        case MessageKind::register_accept:
            if (const auto message = decode<AcceptRequest>(request.body)) {
                voter_.accept(*message, [this, respond, key = message->key](const AcceptReply& answer) {
                    respond(reply(answer));
                    if (answer.accepted) chosen_.onAccepted(key);
                });
            }
            return;
        case MessageKind::register_chosen:
            return replyTo<ChosenNotice>(request, respond, [this](const ChosenNotice& notice) {
                chosen_.learn(notice);
                return Acknowledgement{};
            });
        case MessageKind::register_read_chosen:
            return replyTo<ReadChosenRequest>(request, respond, [this](const ReadChosenRequest& message) {
                return chosen_.answer(message);
            });
        case MessageKind::leader_lease:
            return replyTo<LeaderLeaseRequest>(request, respond, [this](const LeaderLeaseRequest& message) {
                return election_.vote(message);
            });
        case MessageKind::renew_lease:
            return replyTo<RenewLeaseRequest>(
                request, respond, [this](const RenewLeaseRequest& message) { return onRenew(message); });
        case MessageKind::read_configuration:
            return readConfiguration(
                proposer_,
                lifetime_.guard([respond](const ReadConfigurationReply& read) { respond(reply(read)); }));
        case MessageKind::watch:
            if (const auto message = decode<WatchRequest>(request.body))
                distribution_.watch(*message, respond);
            return;
        default:
            LOG_EVERY_N(WARNING, 1000) << "message of unknown kind " << request.kind;
    }
}

void ControlNode::Impl::leave(std::function<void()> done) {
    leaving_ = true;
    election_.leave();
    renewAtPeers();
    leave_timer_ = scheduler_.after(kLeaveGracePeriod, std::move(done));
}

std::string ControlNode::Impl::statusJson() const {
    return statusAsJson(
        {settings_, voter_, chosen_, election_, store_view_manager_, membership_, distribution_},
        scheduler_.now());
}

ControlNode::ControlNode(Scheduler& scheduler, Transport& transport, HttpClient& cloud, RecordStore& disk,
                         const NodeSettings& settings, Incarnation incarnation)
    : impl_(std::make_unique<Impl>(scheduler, transport, cloud, disk, settings, incarnation)) {}

ControlNode::~ControlNode() = default;

void ControlNode::start() {
    impl_->start();
}

void ControlNode::handleHttp(const HttpRequest& request, HttpResponder respond) {
    impl_->handleHttp(request, std::move(respond));
}

void ControlNode::leave(std::function<void()> done) {
    impl_->leave(std::move(done));
}

void ControlNode::setSeeds(const std::vector<NodeAddress>& seeds) {
    impl_->setSeeds(seeds);
}

std::string ControlNode::metricsText() const {
    return impl_->metricsText();
}

std::string ControlNode::statusJson() const {
    return impl_->statusJson();
}

}  // namespace amberswitch::cluster
