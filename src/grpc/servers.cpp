#include "grpc/servers.hpp"

#include <algorithm>
#include <boost/random/uniform_01.hpp>
#include <cmath>

#include "platform/names.hpp"

namespace amberswitch::grpc {

using heronmount::RosterMode;
using heronmount::WorkerStatus;

LoadReport readLoad(const std::string* value) {
    if (!value) return {};
    if (value->substr(0, 4) != "JSON") return platform::readLoad(std::string_view(*value));
    simdjson::dom::parser parser;
    settings::object report;
    if (parser.parse(value->substr(4)).get(report) != simdjson::SUCCESS) return {};
    return platform::readLoad(report);
}

// --- a connection ---
class Servers::Connection : public http2::Session {
public:
    Connection(Servers& owner, Worker server, const http2::Limits& limits, Time now)
        : Session(Side::client, limits, owner.deadlines_, owner.counters_.sessions, now),
          owner_(owner),
          server_(server) {}

    std::list<std::shared_ptr<Connection>>::iterator place;

    void expect(Time now, Nanos within) {
        connect_.arm(owner_.deadlines_, now + within, [this](Time at) {
            how_ = End::connectTimedOut;
            close(at, End::connectTimedOut);
        });
    }
    bool up() const { return settled_; }
    End how() const { return how_; }
    bool hasRoom() const { return usable() && streams() < peersLimit(); }

    void opened(Time now) override {
        connect_.disarm();
        owner_.sift(now, *this);
        how_ = End::brokeSent;
        Session::opened(now);
    }
    void ended(Time now, End how) override {
        if (!connected()) how_ = End::connectRefused;
        Session::ended(now, how);
    }

private:
    void settled(Time now) override {
        if (!std::exchange(settled_, true)) owner_.connected(now, server_);
    }
    void gone(Time now, End) override {
        connect_.disarm();
        if (Server* const server = owner_.serverOf(server_)) server->connections.erase(place);
        if (!settled_) owner_.notConnected(now, server_);
    }

    Servers& owner_;
    const Worker server_;
    Deadlines::Timer connect_;
    bool settled_ = false;
    End how_ = End::connectRefused;  // of a stream that nothing was written of
};

// --- a pass ---
class Servers::Pass : public http2::Exchange,
                      public Call::Carrier,
                      public std::enable_shared_from_this<Pass> {
public:
    Pass(Servers& owner, const ProxyPass& pass, bool pushbackMeansUnrun)
        : owner_(owner),
          call_(std::static_pointer_cast<Call>(pass.job->attachment)),
          transaction_(pass.transaction),
          number_(pass.number),
          server_(pass.server),
          pushbackMeansUnrun_(pushbackMeansUnrun) {}

    bool begin(Time now, const std::shared_ptr<Connection>& on, const http2::Fields& head) {
        session_ = on;
        call_->join(*this);
        const auto id = on->open(now, head, shared_from_this());
        if (id) stream_ = *id;
        return id.has_value();
    }
    void abandon(Time now) {
        leave(now);
        if (const auto session = session_.lock()) session->reset(now, stream_, http2::Code::cancel);
    }
    Time heard() const {
        const auto session = session_.lock();
        return session ? session->heard() : Time(0);
    }
    TransactionId transaction() const { return transaction_; }
    bool on(const Connection& connection) const { return session_.lock().get() == &connection; }
    bool begun() const {
        const auto session = session_.lock();
        return !session || session->connected();
    }
    bool mayBegin(Time now) { return owner_.core_.mayBegin(now, transaction_, number_); }
    void giveBack(Time now) {
        const auto self = shared_from_this();
        abandon(now);
        owner_.core_.passEnded(now, transaction_, number_, End::unsent);
    }

    // Call::Carrier
    void more(Time now) override {
        if (const auto session = session_.lock()) session->resume(now, stream_);
    }
    void taken(Time now, std::size_t bytes) override {
        if (const auto session = session_.lock()) session->consumed(now, stream_, bytes);
    }

    // http2::Exchange
    std::size_t pull(Time now, std::span<char> into, bool& last) override {
        return over_ ? 0 : call_->read(now, *this, into, last);
    }
    void written(Time now) override {
        if (!over_) owner_.core_.passStarted(now, transaction_, number_);
    }
    void headed(Time now, http2::Fields fields) override {
        if (over_) return;
        const std::string* const status = http2::find(fields, ":status");
        const std::string* const type = http2::find(fields, "content-type");
        const std::string* const own = http2::find(fields, "grpc-status");
        if (!own && (!status || *status != "200" || !type || type->substr(0, 16) != "application/grpc")) {
            ++owner_.counters_.notGrpc;
            const Status mapped = status ? ofHttp(*status) : Status::unknown;
            answer(mapped, grpc::trailers(mapped, "the job server's answer is not gRPC" +
                                                      (status ? ", HTTP status " + *status : std::string())));
            return end(now, End::failed, {});
        }
        std::erase_if(fields, [](const auto& field) { return hops(field.first); });
        if (own) {  // trailers-only: nothing is on its way to the client yet
            trailersOnly_ = true;
            finish_ = std::move(fields);
            return;
        }
        fields.insert(fields.begin(), {":status", "200"});
        call_->head(now, *this, number_, std::move(fields));
    }
    void received(Time now, std::string_view bytes) override {
        if (over_ || trailersOnly_ || !call_->deliver(now, *this, bytes)) taken(now, bytes.size());
    }
    void receivedAll(Time now, http2::Fields trailing) override {
        if (over_) return;
        if (!trailersOnly_) {
            std::erase_if(trailing, [](const auto& field) { return hops(field.first); });
            finish_ = std::move(trailing);
        }
        const std::string* const text = http2::find(finish_, "grpc-status");
        const auto status = text ? statusOf(*text) : std::nullopt;
        const LoadReport load = readLoad(http2::find(finish_, "endpoint-load-metrics"));
        if (!status) {
            answer(Status::unknown, grpc::trailers(Status::unknown, "the job server's answer has no status"));
            return end(now, End::failed, load);
        }
        const std::string* const never = http2::find(finish_, "x-never-ran");
        const auto pushback = readPushback(http2::find(finish_, "grpc-retry-pushback-ms"));
        const bool unrun = *status == Status::unavailable && trailersOnly_ &&
                           ((never && *never == "1") || (pushbackMeansUnrun_ && pushback.value_or(-1) >= 0));
        const End how = unrun ? End::handedBack : isFault(*status) ? End::failed : End::served;
        if (!unrun) answer(*status, std::move(finish_));
        end(now, how, load);
    }
    void closed(Time now, const http2::Ending& ending) override {
        if (over_) return;
        if (ending.goneAway) {
            ++owner_.counters_.goneAway;
            return end(now, End::wentAway, {});
        }
        if (ending.connection) {
            const auto session = std::static_pointer_cast<Connection>(session_.lock());
            const End how = !session ? End::brokeSent : session->how();
            if (!ending.unseen) return end(now, End::brokeSent, {});
            return end(now, how == End::brokeSent ? End::brokeUnsent : how, {});
        }
        if (ending.unseen) return end(now, End::handedBack, {});
        const Status status = ending.byPeer ? ofReset(ending.code) : Status::internal;
        answer(status, grpc::trailers(status, ending.byPeer ? "the job server reset the stream"
                                                            : "the job server's answer breaks the protocol"));
        end(now, End::failed, {});
    }

private:
    void answer(Status status, http2::Fields fields) {
        call_->answeredBy(number_, {status, std::move(fields)});
    }
    void leave(Time now) {
        over_ = true;
        const auto self = shared_from_this();
        call_->part(now, *this);
        if (owner_.passes_.erase({transaction_, number_}) == 0) return;
        if (Server* const server = owner_.serverOf(server_)) --server->open;
    }
    void end(Time now, End how, const LoadReport& load) {
        const auto self = shared_from_this();
        const bool unsent = !call_->readAll(*this);
        leave(now);
        // The answer is there before the request is: the rest of it is wanted by nobody. Elsewhere this does
        // nothing, the stream is closed.
        if (unsent || how == End::failed)
            if (const auto session = session_.lock()) session->reset(now, stream_, http2::Code::cancel);
        owner_.core_.passEnded(now, transaction_, number_, how, {}, load);
    }

    Servers& owner_;
    const std::shared_ptr<Call> call_;
    const TransactionId transaction_;
    const std::uint32_t number_;
    const Worker server_;
    const bool pushbackMeansUnrun_;
    std::weak_ptr<http2::Session> session_;
    http2::StreamId stream_ = 0;
    bool over_ = false, trailersOnly_ = false;
    http2::Fields finish_;
};

// --- all of them ---
Servers::Servers(Core& core, Deadlines& deadlines, wire::Connector& connector, const Config& config,
                 std::uint64_t seed)
    : core_(core), deadlines_(deadlines), connector_(connector), config_(config), random_(seed) {}
Servers::~Servers() = default;

RosterServer Servers::told(const Server& server) const {
    const settings::Site& site = core_.site();
    RosterServer out;
    out.name = server.entry.name, out.zoneKnown = server.entry.placed;
    auto& entry = out.entry;
    entry.zone = server.entry.zone, entry.kind = server.entry.kind, entry.cell = server.entry.cell;
    entry.weight = server.entry.weight;
    entry.startedAt = server.since;
    entry.status = server.entry.drain ? WorkerStatus::draining : WorkerStatus::on;
    entry.classMask = settings::classesOf(site, site.wires - 1, server.entry.kind);
    return out;
}

void Servers::configure(Time now, const Config& config) {
    config_ = config;
    std::vector<RosterServer> entries;
    std::vector<Worker> here;
    for (const ServerEntry& entry : config.servers) {
        const Worker handle = core_.handleOf(entry.name);
        Server& server = servers_[handle];
        if (server.entry.address != entry.address && !server.entry.address.empty()) {
            const auto old = server.connections;  // what they carry may end there
            for (const auto& connection : old) connection->leave(now);
            server.failures = 0, server.notBefore = Time(0);
            server.since = now;  // another process: what was learned of the old one is void
        }
        server.entry = entry;
        here.push_back(handle);
        entries.push_back(told(server));
    }
    for (auto& [handle, server] : servers_)
        if (std::find(here.begin(), here.end(), handle) == here.end()) {
            const auto old = server.connections;
            for (const auto& connection : old) connection->leave(now);
        }
    core_.updateRoster(now, *this, *this, RosterMode::full, entries);
    if (core_.site().module.progressInterval.count() > 0 && !tick_.armed())
        tick_.arm(deadlines_, now + core_.site().module.progressInterval, [this](Time at) { tick(at); });
}

void Servers::closeAll(Time now) {
    for (auto& [handle, server] : servers_) {
        const auto all = server.connections;
        for (const auto& connection : all) connection->close(now, End::shutDown);
    }
}

Servers::Server* Servers::serverOf(Worker handle) {
    const auto at = servers_.find(handle);
    return at == servers_.end() ? nullptr : &at->second;
}

std::size_t Servers::openConnections() const {
    std::size_t count = 0;
    for (const auto& [handle, server] : servers_) count += server.connections.size();
    return count;
}

std::shared_ptr<Servers::Connection> Servers::connectionFor(Time now, Worker handle, Server& server,
                                                            End& otherwise) {
    if (server.entry.slots > 0 && server.open >= server.entry.slots) {
        ++counters_.noRoom;
        otherwise = End::handedBack;
        return nullptr;
    }
    std::size_t usable = 0;
    for (const auto& connection : server.connections) {
        if (connection->hasRoom()) return connection;
        usable += connection->usable();
    }
    if (usable >= config_.connectionsPerServer) {
        ++counters_.noRoom;
        otherwise = End::handedBack;
        return nullptr;
    }
    if (now < server.notBefore) {
        ++counters_.backedOff;
        otherwise = End::connectRefused;
        return nullptr;
    }
    http2::Limits limits;
    limits.idle = config_.idle, limits.ping = config_.keepalive, limits.pong = config_.keepaliveWait;
    const auto connection = std::make_shared<Connection>(*this, handle, limits, now);
    server.connections.push_back(connection);
    connection->place = std::prev(server.connections.end());
    connection->expect(now, core_.site().connectTimeout);
    connector_.connect(now, connection, server.entry.address);
    return connection;
}

void Servers::start(Time now, const ProxyPass& pass) {
    Server* const server = serverOf(pass.server);
    End otherwise = End::connectRefused;
    const auto connection = server ? connectionFor(now, pass.server, *server, otherwise) : nullptr;
    if (!connection) return core_.passEnded(now, pass.transaction, pass.number, otherwise);
    ++counters_.passes;
    const auto call = std::static_pointer_cast<Call>(pass.job->attachment);
    const auto& metadata = call->metadata();
    const std::string* const authority = http2::find(metadata, ":authority");
    http2::Fields head = {
        {":method", "POST"},         {":scheme", "http"},
        {":path", pass.job->target}, {":authority", authority ? *authority : server->entry.address},
        {"te", "trailers"},          {"grpc-timeout", writeTimeout(pass.until - now)}};
    long attempts = pass.number;
    for (const auto& field : metadata) {
        if (hops(field.first) || field.first == "grpc-timeout") continue;
        if (field.first == "grpc-previous-rpc-attempts")
            attempts += std::max(0L, readPushback(&field.second).value_or(0));
        else
            head.push_back(field);
    }
    if (attempts > 0) head.emplace_back("grpc-previous-rpc-attempts", std::to_string(attempts));
    const auto carried = std::make_shared<Pass>(*this, pass, server->entry.pushbackMeansUnrun);
    passes_[{pass.transaction, pass.number}] = carried;
    ++server->open;
    if (!carried->begin(now, connection, head)) carried->closed(now, {.unseen = true, .goneAway = true});
}

bool Servers::begun(const ProxyPass& pass) const {
    const auto at = passes_.find({pass.transaction, pass.number});
    return at == passes_.end() || at->second->begun();
}

// Guards against calls that waited for their connection until nobody wants them, or they may not run.
void Servers::sift(Time now, const Connection& opened) {
    std::vector<std::shared_ptr<Pass>> waited;
    for (const auto& [id, pass] : passes_)
        if (pass->on(opened)) waited.push_back(pass);
    for (const auto& pass : waited)
        if (!pass->mayBegin(now)) pass->giveBack(now);
}

void Servers::abandon(Time now, const ProxyPass& pass) {
    const auto at = passes_.find({pass.transaction, pass.number});
    if (at == passes_.end()) return;
    const auto carried = at->second;
    carried->abandon(now);
}

void Servers::closeIdle(Time now, Worker handle) {
    Server* const server = serverOf(handle);
    if (!server) return;
    const auto all = server->connections;
    for (const auto& connection : all)
        if (connection->connected() && connection->streams() == 0) connection->close(now, End::idle);
}

void Servers::probe(Time now, Worker handle) {
    const Server* const server = serverOf(handle);
    const bool up = server && std::any_of(server->connections.begin(), server->connections.end(),
                                          [](const auto& connection) { return connection->up(); });
    core_.probeAnswered(now, handle, up, {});
}

void Servers::connected(Time now, Worker handle) {
    Server* const server = serverOf(handle);
    if (!server) return;
    server->notBefore = Time(0);
    if (std::exchange(server->failures, 0) == 0) return;
    // It was away and is back: it has started anew, for all that can be known here, and is cold.
    ++counters_.restarts;
    server->since = now;
    core_.updateRoster(now, *this, *this, RosterMode::incremental, {told(*server)});
}

// As the published page on connection backoff says: 1.6 times longer with each failure, a fifth more or less.
void Servers::notConnected(Time now, Worker handle) {
    Server* const server = serverOf(handle);
    if (!server) return;
    const double base =
        static_cast<double>(config_.backoff.count()) * std::pow(1.6, std::min(server->failures, 30U));
    const double bounded = std::min(base, static_cast<double>(config_.mostBackoff.count()));
    const double jitter = 0.8 + 0.4 * boost::random::uniform_01<double>()(random_);
    ++server->failures;
    server->notBefore = now + Nanos(static_cast<std::int64_t>(bounded * jitter));
}

// The protocol has no notes of progress: while a connection gives signs of life, what it carries counts as
// being worked on. Guards against long calls being taken for silent ones.
void Servers::tick(Time now) {
    const Nanos lively = config_.keepalive + config_.keepaliveWait;
    std::vector<PassKey> alive;
    for (const auto& [key, pass] : passes_)
        if (config_.keepalive.count() == 0 || now - pass->heard() <= lively) alive.push_back(key);
    for (const auto& [transaction, number] : alive) core_.passProgress(now, transaction, number, 0);
    tick_.arm(deadlines_, now + core_.site().module.progressInterval, [this](Time at) { tick(at); });
}

}  // namespace amberswitch::grpc
