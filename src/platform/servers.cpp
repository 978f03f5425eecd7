#include "platform/servers.hpp"

#include <algorithm>

namespace amberswitch::platform {

using namespace settings;

class Servers::Connection : public http::Client, public std::enable_shared_from_this<Connection> {
public:
    enum class Task { none, pass, erase, probe };
    static constexpr Nanos kRested = std::chrono::milliseconds(100);  // for less it was in use just now

    Connection(Servers& owner, Worker server) : owner_(owner), server_(server) {}

    Worker server() const { return server_; }
    Time idleSince() const { return idleSince_; }
    void reuse(Time now) { rested_ = now - idleSince_; }
    bool carries(TransactionId id, std::uint32_t number) const {
        return task_ == Task::pass && transaction_ == id && number_ == number;
    }

    void expectConnect(Time now) {
        watchdog_.arm(owner_.deadlines_, now + owner_.connectWithin_, [this](Time at) {
            if (state() == State::connecting) close(at, End::connectTimedOut);
        });
    }
    void carry(const ProxyPass& pass, std::string_view request) {
        unwritten_ = true, task_ = Task::pass, transaction_ = pass.transaction, number_ = pass.number;
        traceId_ = pass.job->traceId;
        busy(request);
    }
    void erase(Time now, std::string_view request) {
        task_ = Task::erase;
        busy(request);
        overdue(now, std::chrono::seconds(2));
    }
    void probe(Time now, std::string_view request) {
        task_ = Task::probe;
        busy(request);
        overdue(now, std::chrono::milliseconds(300));
    }
    void letGo() { task_ = Task::none; }  // what becomes of the exchange matters to nobody

    void opened(Time now) override {
        // Guards against a connection that comes up late: what it was made for may not be wanted any more, or
        // not be allowed.
        if (task_ == Task::pass && !owner_.core_.mayBegin(now, transaction_, number_))
            return close(now, End::unsent);
        if (task_ == Task::pass || task_ == Task::none) watchdog_.disarm();
        Client::opened(now);
    }

private:
    void busy(std::string_view request) {
        if (state() == State::idle) watchdog_.disarm();
        ask(request);
    }
    void overdue(Time now, Nanos most) {
        watchdog_.arm(owner_.deadlines_, now + most, [this](Time at) { close(at, End::timedOut); });
    }

    void wroteAll(Time) override {
        if (std::exchange(unwritten_, false)) owner_.core_.passWritten();
    }

    void answered(Time now, http::Message message, bool reusable) override {
        const auto self = shared_from_this();
        watchdog_.disarm();
        const Task task = std::exchange(task_, Task::none);
        if (reusable) {  // first back to the pool: what follows may want a connection
            idleSince_ = now;
            watchdog_.arm(owner_.deadlines_, now + owner_.idleFor_,
                          [this](Time at) { close(at, End::idle); });
            owner_.servers_[server_].idle.push_back(self);
        }
        if (task == Task::probe)
            owner_.core_.probeAnswered(now, server_, message.status == 200, readLoad(message));
        if (task != Task::pass) return;
        if (message.status == 202) {
            if (Active* const active = owner_.find(traceId_, transaction_, number_))
                ++owner_.counters_.taken, active->carrier = nullptr;
            return;
        }
        const std::string* const never = message.header("x-never-ran");
        const bool neverRan = (message.status == 503 || message.status == 504) && never && *never == "1";
        owner_.ended(now, traceId_, transaction_, number_, neverRan ? End::handedBack : End::failed, {},
                     readLoad(message));
    }

    void over(Time now, End how) override {
        const auto self = shared_from_this();
        watchdog_.disarm();
        auto& idle = owner_.servers_[server_].idle;
        std::erase(idle, self);
        const Task task = std::exchange(task_, Task::none);
        // Guards against taking a kept connection's silent end for a fault of the server.
        if (rested_ >= kRested && task != Task::none && (how == End::brokeSent || how == End::brokeUnsent)) {
            how = how == End::brokeSent ? End::staleSent : End::staleUnsent;
            owner_.wentStale(now, rested_);
        }
        if (task == Task::probe) owner_.core_.probeAnswered(now, server_, false, {});
        if (task == Task::pass) owner_.ended(now, traceId_, transaction_, number_, how);
    }

    Servers& owner_;
    Worker server_;
    Deadlines::Timer watchdog_;
    Task task_ = Task::none;
    bool unwritten_ = false;  // a pass that is not written whole yet, called off or not
    TransactionId transaction_ = 0;
    std::uint32_t number_ = 0;
    std::string traceId_;
    Time idleSince_{0};
    Nanos rested_{0};  // before the exchange that it carries
};

// An idle connection is dropped well before the server's own limit: a request that crosses its close would
// end as a reset.
Servers::Servers(Core& core, Deadlines& deadlines, wire::Connector& connector)
    : core_(core),
      deadlines_(deadlines),
      connector_(connector),
      idleFor_(core.site().idleClose * 6 / 10),
      connectWithin_(core.site().connectTimeout) {}

Servers::~Servers() = default;

void Servers::learn(Time now, Worker server, const std::string& name, const std::string& address) {
    if (server >= servers_.size()) servers_.resize(server + 1);
    Server& known = servers_[server];
    known.name = name;
    if (address.empty() || known.address == address) return;
    known.address = address;
    closeIdle(now, server);
}

std::shared_ptr<Servers::Connection> Servers::connectionTo(Time now, Worker server) {
    auto& idle = servers_[server].idle;
    while (!idle.empty()) {
        auto last = std::move(idle.back());
        idle.pop_back();
        if (last->state() != http::Client::State::idle) continue;
        if (now - last->idleSince() > idleFor_) {
            last->close(now, End::idle);
            continue;
        }
        ++counters_.reused;
        last->reuse(now);
        return last;
    }
    ++counters_.connections;
    return std::make_shared<Connection>(*this, server);
}

void Servers::start(Time now, const ProxyPass& pass) {
    const Job& job = *pass.job;
    const auto connection = connectionTo(now, pass.server);
    active_[job.traceId].push_back({pass.transaction, pass.number, pass.server, connection});
    std::string request;
    request.reserve(256 + job.body.size());
    request += (job.method.empty() ? "POST" : job.method) + ' ';
    request += (job.target.empty() ? '/' + job.className : job.target) + " HTTP/1.1\r\nHost: ";
    request += servers_[pass.server].address + "\r\nX-Trace-Id: " + job.traceId + "\r\n";
    request += "X-Qos: " + job.className + "\r\n";
    request += "X-Expires-In-Ms: " +
               std::to_string(std::max<std::int64_t>(1, (pass.until - now).count() / 1'000'000));
    request += "\r\n";
    if (!job.key.empty()) request += "Idempotency-Key: " + job.key + "\r\n";
    if (!job.contentType.empty()) request += "Content-Type: " + job.contentType + "\r\n";
    request += "Content-Length: " + std::to_string(job.body.size()) + "\r\n\r\n" + job.body;
    connection->carry(pass, request);
    if (connection->state() != http::Client::State::connecting) return;
    connection->expectConnect(now);
    connector_.connect(now, connection, servers_[pass.server].address);
}

void Servers::abandon(Time now, const ProxyPass& pass) {
    Active* const active = find(pass.job->traceId, pass.transaction, pass.number);
    if (!active) return;
    const auto carrier = active->carrier;
    erase(pass.job->traceId, pass.transaction, pass.number);
    if (carrier && carrier->carries(pass.transaction, pass.number)) {  // not taken yet: closing calls it off
        carrier->letGo();
        carrier->close(now, End::withdrawn);
        return;
    }
    ++counters_.deletes;
    const auto connection = connectionTo(now, pass.server);
    connection->erase(now, "DELETE /jobs/" + pass.job->traceId +
                               " HTTP/1.1\r\nHost: " + servers_[pass.server].address + "\r\n\r\n");
    if (connection->state() == http::Client::State::connecting)
        connector_.connect(now, connection, servers_[pass.server].address);
}

bool Servers::begun(const ProxyPass& pass) const {
    const Active* const active = find(pass.job->traceId, pass.transaction, pass.number);
    return !active || !active->carrier || active->carrier->state() != http::Client::State::connecting;
}

void Servers::probe(Time now, Worker server) {
    const auto connection = connectionTo(now, server);
    connection->probe(now, "GET /-/load HTTP/1.1\r\nHost: " + servers_[server].address + "\r\n\r\n");
    if (connection->state() == http::Client::State::connecting)
        connector_.connect(now, connection, servers_[server].address);
}

void Servers::closeIdle(Time now, Worker server) {
    if (server >= servers_.size()) return;
    const auto idle = std::exchange(servers_[server].idle, {});
    for (const auto& connection : idle) connection->close(now, End::idle);
}

// Guards against servers (or what lies before them) that drop idle connections sooner than the settings say,
// and silently: a request written to one is reset and may not be repeated elsewhere. A new connection costs
// little next to that, so from now on none is kept for as long as the one that broke.
void Servers::wentStale(Time now, Nanos rested) {
    ++counters_.stale;
    idleFor_ = std::min(idleFor_, rested / 2);
    for (Worker server = 0; server < servers_.size(); ++server) {
        auto& idle = servers_[server].idle;
        while (!idle.empty() && now - idle.front()->idleSince() > idleFor_) {
            const auto oldest = idle.front();
            idle.erase(idle.begin());
            oldest->close(now, End::idle);
        }
    }
}

std::size_t Servers::idle() const {
    std::size_t count = 0;
    for (const Server& server : servers_) count += server.idle.size();
    return count;
}

bool Servers::relieve(Time now) {
    std::shared_ptr<Connection> oldest;
    for (const Server& server : servers_)
        for (const auto& connection : server.idle)
            if (!oldest || connection->idleSince() < oldest->idleSince()) oldest = connection;
    if (oldest) oldest->close(now, End::idle);
    return oldest != nullptr;
}

const Servers::Active* Servers::find(const std::string& traceId, TransactionId id,
                                     std::uint32_t number) const {
    const auto at = active_.find(traceId);
    if (at == active_.end()) return nullptr;
    for (const Active& active : at->second)
        if (active.transaction == id && active.number == number) return &active;
    return nullptr;
}

Servers::Active* Servers::find(const std::string& traceId, TransactionId id, std::uint32_t number) {
    return const_cast<Active*>(std::as_const(*this).find(traceId, id, number));
}

void Servers::erase(const std::string& traceId, TransactionId id, std::uint32_t number) {
    const auto at = active_.find(traceId);
    if (at == active_.end()) return;
    std::erase_if(at->second,
                  [&](const Active& active) { return active.transaction == id && active.number == number; });
    if (at->second.empty()) active_.erase(at);
}

void Servers::ended(Time now, const std::string& traceId, TransactionId id, std::uint32_t number, End how,
                    std::string result, const LoadReport& load) {
    erase(std::string(traceId), id, number);
    core_.passEnded(now, id, number, how, std::move(result), load);
}

// Guards against calls that repeat, come before the 202, or come late for an older pass: only an open pass
// of this request at that very server takes them; all others are answered and change nothing.
Servers::Call Servers::callback(Time now, const std::string& body) {
    ++counters_.callbacks;
    object call;
    if (json_.parse(body).get(call) != simdjson::SUCCESS) return Call::unreadable;
    std::string id;
    std::string_view from, state;
    std::string result;
    double share = 0;
    LoadReport load;
    try {
        id = text(call, "id"), from = text(call, "from"), state = text(call, "state");
        result = text(call, "result", ""), share = number(call, "share", 0);
        if (const auto report = settings::find(call, "load")) load = readLoad(asObject(*report, "load"));
    } catch (const BadField&) {
        return Call::unreadable;
    }
    const auto at = active_.find(id);
    const Active* match = nullptr;
    if (at != active_.end())
        for (const Active& active : at->second)
            if (servers_[active.server].name == from) match = &active;
    if (!match) {
        ++counters_.strayCallbacks;
        return Call::strangers;
    }
    const Active pass = *match;
    if (state == "started") core_.passStarted(now, pass.transaction, pass.number);
    if (state == "running") core_.passProgress(now, pass.transaction, pass.number, share);
    const End how = state == "done"       ? End::served
                    : state == "failed"   ? End::failed
                    : state == "returned" ? End::handedBack
                    : state == "lost"     ? End::lost
                                          : End::unsent;
    if (how != End::unsent) ended(now, id, pass.transaction, pass.number, how, std::move(result), load);
    return Call::taken;
}

}  // namespace amberswitch::platform
