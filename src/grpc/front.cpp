#include "grpc/front.hpp"

#include <algorithm>

#include "platform/names.hpp"

namespace amberswitch::grpc {

class Front::Connection : public http2::Session {
public:
    Connection(Front& owner, const http2::Limits& limits, Time now)
        : Session(Side::server, limits, owner.deadlines_, owner.counters_.sessions, now), owner_(owner) {}

    std::list<std::shared_ptr<Connection>>::iterator place;

private:
    std::shared_ptr<http2::Exchange> begun(Time, http2::StreamId id) override;
    void gone(Time, End) override { owner_.connections_.erase(place); }

    Front& owner_;
};

// A call whose head the front still has to read.
class Front::Incoming : public Call {
public:
    Incoming(Front& owner, std::weak_ptr<http2::Session> session, http2::StreamId id)
        : Call(owner.core_, owner.counters_.calls, std::move(session), id, owner.hold_), owner_(owner) {}
    void headed(Time now, http2::Fields head) override { owner_.arrive(now, *this, std::move(head)); }

private:
    Front& owner_;
};

std::shared_ptr<http2::Exchange> Front::Connection::begun(Time, http2::StreamId id) {
    return std::make_shared<Incoming>(owner_, weak_from_this(), id);
}

Front::Front(Core& core, Deadlines& deadlines, Config config)
    : core_(core),
      deadlines_(deadlines),
      config_(std::move(config)),
      mostConnections_(config_.mostConnections),
      mostStreams_(config_.mostStreams),
      mostCalls_(config_.mostCalls),
      hold_(config_.holdBytes) {}
Front::~Front() = default;

std::shared_ptr<wire::Machine> Front::accept(Time now) {
    if (connections_.size() >= mostConnections_) {
        ++counters_.turnedAway;
        return nullptr;
    }
    http2::Limits limits;
    limits.streams = mostStreams_;
    limits.ping = config_.keepalive, limits.pong = config_.keepaliveWait;
    const auto connection = std::make_shared<Connection>(*this, limits, now);
    connections_.push_back(connection);
    connection->place = std::prev(connections_.end());
    if (left_)
        connection->leave(now);
    else if (draining_)
        connection->sayGoodbye(now);
    return connection;
}

void Front::resume() {
    draining_ = left_ = false;
    second_.disarm();
}

void Front::drain(Time now) {
    if (std::exchange(draining_, true)) return;  // out of service first, and then the end
    const auto all = connections_;               // a session may go while it is told
    for (const auto& connection : all) connection->sayGoodbye(now);
    second_.arm(deadlines_, now + kSecondStep, [this](Time at) {
        left_ = true;
        const auto rest = connections_;
        for (const auto& connection : rest) connection->leave(at);
    });
}

void Front::closeAll(Time now) {
    const auto all = connections_;
    for (const auto& connection : all) connection->close(now, End::shutDown);
}

bool Front::quiet() const {
    return std::all_of(connections_.begin(), connections_.end(),
                       [](const auto& connection) { return connection->quiet(); });
}

void Front::arrive(Time now, Call& call, http2::Fields head) {
    const auto field = [&head](std::string_view name) { return http2::find(head, name); };
    const auto bad = [&](Status status, std::string_view why) {
        ++counters_.badCalls;
        call.refuse(now, status, why);
    };
    const std::string* const type = field("content-type");
    if (!type || type->substr(0, 16) != "application/grpc")
        return bad(Status::invalidArgument, "the content type is not application/grpc");
    const std::string* const method = field(":method");
    if (!method || *method != "POST") return bad(Status::invalidArgument, "calls arrive by POST");
    const std::string* const path = field(":path");
    const Route* const route = path ? config_.routeOf(*path) : nullptr;
    if (!route) {
        ++counters_.noRoute;
        return call.refuse(now, Status::unimplemented, "no route for this method");
    }
    const settings::Site& site = core_.site();
    const auto& klass = site.module.classes[route->klass];
    Arrival arrival;
    auto& request = arrival.request;
    // Calls are of this wire's classes: so no server of another one gets them.
    request.klass = static_cast<std::uint32_t>((site.wires - 1) * site.classes.size() + route->klass);
    request.timeLeft = klass.clientTimeout;
    if (const std::string* const text = field("grpc-timeout")) {
        const auto timeout = readTimeout(*text);
        if (!timeout) return bad(Status::invalidArgument, "grpc-timeout can't be read");
        if (timeout->count() == 0) return call.refuse(now, Status::deadlineExceeded, "no time was left");
        request.timeLeft = std::min(request.timeLeft, *timeout);
    }
    request.timeLeft = platform::withoutWay(request.timeLeft);
    const std::string* const key = field("idempotency-key");
    if ((klass.idempotency == heronmount::Idempotency::keyed || route->keyDemanded) && (!key || key->empty()))
        return bad(Status::invalidArgument, "idempotency-key is missing");
    if (!config_.tenantKey.empty())
        if (const std::string* const tenant = field(config_.tenantKey)) {
            const auto at = std::find(site.tenants.begin(), site.tenants.end(), *tenant);
            if (at == site.tenants.end()) return bad(Status::invalidArgument, "this tenant is not known");
            request.tenant = static_cast<int>(at - site.tenants.begin());
        }
    if (!config_.affinityKey.empty())
        if (const std::string* const about = field(config_.affinityKey))
            request.hasAffinityKey = true, request.affinityKey = settings::fingerprint(*about) >> 11;
    request.slots = route->slots;
    const std::string* const attempts = field("grpc-previous-rpc-attempts");
    request.isClientRetry = attempts && *attempts != "0";
    if (counters_.calls.open > mostCalls_) {
        ++counters_.noRoom;
        const auto& allowed = site.module;
        return call.refuse(now, Status::unavailable, "too many calls are open, try again",
                           allowed.mayAdviseRetry ? std::optional<long>(100) : std::nullopt);
    }
    arrival.job.className = site.classes[route->klass];
    arrival.job.target = *path;
    arrival.job.traceId = "grpc-" + std::to_string(++lastCall_);
    if (key) arrival.job.key = *key;
    call.begin(now, std::move(arrival), std::move(head));
}

}  // namespace amberswitch::grpc
