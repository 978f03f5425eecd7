#include "platform/front.hpp"

#include <algorithm>
#include <cstdio>

namespace amberswitch::platform {

class Front::Connection : public http::Server,
                          public ClientEnd,
                          public std::enable_shared_from_this<Connection> {
public:
    // Whose connection it is, by what was asked last; who has asked nothing passes for a client.
    enum class Of { client, jobServer, platform };

    Connection(Front& owner, Time now) : http::Server(owner.deadlines_, now), owner_(owner) {}

    Of of() const { return of_; }

    Connections::iterator place;
    Connections* in = nullptr;  // the list that it stands in
    Standing standing = silent;

    void served(Time now, std::string result) override { final(now, 200, result); }
    void failed(Time now, std::string_view why) override {
        final(now, 502, why.empty() ? "the job failed\n" : why);
    }
    bool hasLeft() override { return peerGone(); }
    void unavailable(Time now, Nanos retryIn) override {
        final(now, 503, "unavailable, try again\n", advice(retryIn));
    }

    void received(Time now) override {
        http::Server::received(now);
        if (state() != State::reading) return hold(jobBytes_);
        hold(held());
        // Guards against many messages that together hold more than there is: this one can't be finished.
        if (owner_.held_ <= owner_.room_) return;
        ++owner_.counters_.noRoom;
        cutOff(now, 503, "no room, try again\n", advice(kComeBack));
    }

    std::string advice(Nanos retryIn) const {
        char text[48] = "";
        if (retryIn.count() > 0 && owner_.core_.site().module.mayAdviseRetry)
            std::snprintf(text, sizeof text, "Retry-After: %.3f\r\n",
                          static_cast<double>(retryIn.count()) * 1e-9);
        return text;
    }

private:
    static constexpr Nanos kComeBack = std::chrono::milliseconds(500);

    void final(Time now, int status, std::string_view body, std::string_view extra = {}) {
        if (std::exchange(open_, false)) owner_.release(now, traceId_);
        transaction_ = 0, jobBytes_ = 0;
        hold(0);
        reply(now, status, body, extra);
    }

    void hold(std::size_t bytes) {
        owner_.held_ += bytes - holds_;
        holds_ = bytes;
    }

    void rise(Standing to) { standing = std::max(standing, to); }  // it is busy: it rests there later

    // Guards against a peer that sends the same again as soon as it is turned away.
    void fault(Time now, int status, const std::string& why, std::string_view extra = {}) {
        ++owner_.counters_.malformed;
        if (++faults_ <= kMostFaults) return reply(now, status, why, extra);
        lastOne();
        reply(now, 429, why, advice(kComeBack));
    }

    void request(Time now, http::Message message) override {
        ++owner_.counters_.requests;
        const std::string_view path = message.path();
        const bool get = message.method == "GET";
        of_ = Of::jobServer;
        if (path == "/callback") {
            rise(client);
            if (message.method != "POST") return reply(now, 405, "");
            const Servers::Call call = owner_.servers_.callback(now, message.body);
            if (call == Servers::Call::unreadable) return reply(now, 400, "this call can't be read\n");
            if (call == Servers::Call::taken || !owner_.elsewhere_) return reply(now, 204, "");
            return owner_.elsewhere_(now, message.body, [self = weak_from_this()](Time at, int status) {
                const auto caller = self.lock();
                if (caller && caller->state() == State::waiting) caller->reply(at, status, "");
            });
        }
        rise(stranger);
        of_ = Of::platform;
        if (path == "/-/ready") {
            if (!get) return reply(now, 405, "");
            // Another process has this dispatcher's clients: who asks here comes to it from now on.
            if (owner_.service_.ending() && owner_.service_.hasSuccessor()) lastOne();
            if (owner_.service_.ready() || owner_.service_.hasSuccessor()) return reply(now, 200, "ready\n");
            return reply(now, 503, std::string(service::nameOf(owner_.service_.state())) + "\n");
        }
        if (path == "/-/counters")
            return get ? reply(now, 200, owner_.report_ ? owner_.report_() : "") : reply(now, 405, "");
        of_ = Of::client;
        BadJob bad;
        if (message.method != "POST") return fault(now, 405, "jobs arrive by POST\n", "Allow: POST\r\n");
        auto arrival = readJob(owner_.core_.site(), message, bad);
        if (!arrival) return fault(now, bad.status, bad.why + "\n");
        if (owner_.turnsAway(now)) {
            owner_.core_.countRejectedByFront(arrival->request.klass, true);
            return reply(now, 503, "unavailable, try again\n", advice(std::chrono::milliseconds(100)));
        }
        // Guards against a second job under the id of one that is open: application servers and their
        // callbacks know jobs by it. The first goes on unharmed.
        if (!owner_.claim(now, arrival->job.traceId)) {
            ++owner_.counters_.takenIds;
            owner_.core_.countRejectedByFront(arrival->request.klass, false);
            return fault(now, 409, "this X-Trace-Id is in use\n", advice(kComeBack));
        }
        faults_ = 0;
        rise(client);
        traceId_ = arrival->job.traceId;
        jobBytes_ = message.body.size();
        arrival->job.body = std::move(message.body);
        arrival->client = shared_from_this();
        open_ = true;
        const TransactionId id = owner_.core_.arrive(now, std::move(*arrival));
        if (open_) transaction_ = id;
    }

    bool parting(Time now) const override {
        const bool others = owner_.service_.ending() && !owner_.service_.hasSuccessor();
        return (others || of_ == Of::client) && owner_.leaves(now);
    }
    void stateChanged(Time, State to) override {
        if (to == State::ended) return;  // gone() follows
        auto& into = to == State::idle ? owner_.resting_[standing] : owner_.busy_;
        into.splice(into.end(), *in, place);
        in = &into;
    }
    void left(Time now) override {
        if (!std::exchange(open_, false)) return;
        owner_.release(now, traceId_);
        if (transaction_) owner_.core_.clientLeft(now, transaction_);
    }
    void gone(Time, End how) override {
        ++owner_.counters_.ends[static_cast<std::size_t>(how)];
        hold(0);
        in->erase(place);
    }

    Front& owner_;
    TransactionId transaction_ = 0;
    bool open_ = false;
    std::string traceId_;
    std::size_t jobBytes_ = 0, holds_ = 0;
    unsigned faults_ = 0;
    Of of_ = Of::client;
};

Front::Front(Core& core, Servers& servers, Deadlines& deadlines, service::Service& service)
    : core_(core),
      servers_(servers),
      deadlines_(deadlines),
      service_(service),
      handOver_(ShutdownSchedule::of(core.site())) {
    service_.subscribe([this](Time now, service::ServiceState) { standingChanged(now); });
}
Front::~Front() = default;

std::shared_ptr<wire::Machine> Front::accept(Time now) {
    ++counters_.connections;
    auto connection = std::make_shared<Connection>(*this, now);
    connection->in = &resting_[silent];
    connection->place = resting_[silent].insert(resting_[silent].end(), connection);
    return connection;
}

std::size_t Front::open() const {
    return resting_[silent].size() + resting_[stranger].size() + resting_[client].size() + busy_.size();
}

bool Front::claim(Time now, const std::string& traceId) {
    for (; !ended_.empty() && ended_.front().first <= now; ended_.pop_front())
        ids_.erase(ended_.front().second);
    return ids_.insert(traceId).second;
}

void Front::release(Time now, const std::string& traceId) {
    ended_.emplace_back(now + kIdsKept, traceId);
}

bool Front::leaves(Time now) const {
    using service::ServiceState;
    if (service_.ending()) return service_.hasSuccessor() || now >= service_.since() + handOver_.rejectJobs;
    return service_.state() == ServiceState::outOfService;
}

bool Front::turnsAway(Time now) const {
    using service::ServiceState;
    if (service_.ending()) return now >= service_.since() + handOver_.rejectJobs;
    return service_.state() == ServiceState::outOfService &&
           now >= service_.since() + DrainSchedule::rejectJobs;
}

// Everything else follows from the standing as it is asked for: in service again, nothing is left over.
void Front::standingChanged(Time now) {
    using service::ServiceState;
    sweep_.disarm();
    if (service_.ending())
        sweep_.arm(deadlines_, service_.hasSuccessor() ? now : service_.since() + handOver_.rejectJobs,
                   [this](Time at) { sweep(at); });
    else if (service_.state() == ServiceState::outOfService)
        sweep_.arm(deadlines_, now + DrainSchedule::closeIdle, [this](Time at) { sweep(at); });
}

// Guards against a request that meets the process's end unread: a client whose idle connection is closed in
// time sends it again elsewhere. What has come and was not read yet is served first.
void Front::sweep(Time now) {
    std::vector<std::shared_ptr<Connection>> rested;
    for (const Connections& peers : resting_)
        for (const auto& connection : peers) {
            const bool theirs =
                (service_.ending() && !service_.hasSuccessor()) || connection->of() == Connection::Of::client;
            if (theirs && connection->rests() && now - connection->born() > kPatience)
                rested.push_back(connection);
        }
    for (const auto& connection : rested) connection->shutdown(now);
    sweep_.arm(deadlines_, now + DrainSchedule::recheckInterval, [this](Time at) { sweep(at); });
}

void Front::shutdown(Time now) {
    for (const Connections& peers : resting_)
        for (const auto& connection : Connections(peers)) connection->shutdown(now, End::shutDown);
    const Nanos retryIn = std::chrono::milliseconds(100);
    for (const auto& connection : Connections(busy_))
        if (connection->state() == http::Server::State::reading)
            connection->cutOff(now, 503, "this dispatcher ends, try again\n", connection->advice(retryIn));
}

bool Front::relieve(Time now, Standing most) {
    for (std::size_t standing = 0; standing <= most; ++standing)
        for (const auto& connection : resting_[standing]) {
            // Guards against closing who has just come: the first request, or a callback, is on its way. So
            // it is with all that follow.
            if (standing == silent && now - connection->born() <= kPatience) break;
            if (connection->rests()) {
                ++counters_.relieved[standing];
                const auto keep = connection;
                keep->closeIdle(now);
                return true;
            }
        }
    return false;
}

void Front::hurry(Time now) {
    for (const auto& connection : Connections(busy_))
        if (connection->standing == silent && connection->state() == http::Server::State::reading &&
            now - connection->born() > kPatience)
            ++counters_.hurried, connection->cutOff(now, 408, "the request did not come to its end\n");
}

template <class Of>
std::size_t Front::countIf(Of&& of) const {
    auto count = std::count_if(busy_.begin(), busy_.end(), of);
    for (const Connections& peers : resting_) count += std::count_if(peers.begin(), peers.end(), of);
    return static_cast<std::size_t>(count);
}

std::size_t Front::clients() const {
    return countIf([](const auto& peer) { return peer->of() == Connection::Of::client; });
}

bool Front::handedOver(Time now) const {
    if (!service_.ending()) return false;
    return now >= service_.since() + handOver_.rejectJobs ||
           (service_.hasSuccessor() ? clients() : open()) == 0;
}

std::vector<std::string> Front::idsInUse() const {
    return {ids_.begin(), ids_.end()};
}

// Guards against a second job under an id that the other process of this dispatcher has in use: job servers
// know the two as one.
void Front::claimElsewhere(Time now, const std::vector<std::string>& ids) {
    for (const std::string& id : ids)
        if (ids_.insert(id).second) release(now, id);
}

bool Front::quiet() const {
    return countIf([](const auto& peer) {
               return peer->state() == http::Server::State::waiting || !peer->out().empty();
           }) == 0;
}

}  // namespace amberswitch::platform
