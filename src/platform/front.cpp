#include "platform/front.hpp"

#include <cstdio>

#include "core/hand_over.hpp"

namespace amberswitch::platform {

class Front::Connection : public http::Server,
                          public ClientEnd,
                          public std::enable_shared_from_this<Connection> {
public:
    Connection(Front& owner, Time now) : http::Server(owner.deadlines_, now), owner_(owner) {}

    std::list<std::shared_ptr<Connection>>::iterator place;

    void served(Time now, std::string result) override { final(now, 200, result); }
    void failed(Time now, std::string_view why) override {
        final(now, 502, why.empty() ? "the job failed\n" : why);
    }
    void unavailable(Time now, Nanos retryIn) override { turnAway(now, retryIn); }

private:
    void final(Time now, int status, std::string_view body, std::string_view extra = {}) {
        transaction_ = 0, open_ = false;
        reply(now, status, body, extra);
    }

    void turnAway(Time now, Nanos retryIn) {
        char advice[48] = "";
        if (retryIn.count() > 0)
            std::snprintf(advice, sizeof advice, "Retry-After: %.3f\r\n",
                          static_cast<double>(retryIn.count()) * 1e-9);
        final(now, 503, "unavailable, try again\n", advice);
    }

    void request(Time now, http::Message message) override {
        ++owner_.counters_.requests;
        const bool late = owner_.turnAway_ && now >= *owner_.turnAway_;
        if (late) lastOne();
        const std::string_view path = message.path();
        const bool get = message.method == "GET";
        if (path == "/callback") {
            if (message.method != "POST") return reply(now, 405, "");
            const bool taken = owner_.servers_.callback(now, message.body);
            return taken ? reply(now, 204, "") : reply(now, 400, "this call can't be read\n");
        }
        if (path == "/-/ready") {
            if (!get) return reply(now, 405, "");
            return owner_.turnAway_ ? reply(now, 503, "ending\n") : reply(now, 200, "ready\n");
        }
        if (path == "/-/counters")
            return get ? reply(now, 200, owner_.report_ ? owner_.report_() : "") : reply(now, 405, "");
        BadJob bad;
        if (message.method != "POST") return reply(now, 405, "jobs arrive by POST\n", "Allow: POST\r\n");
        auto arrival = readJob(owner_.core_.site(), message, bad);
        if (!arrival) {
            ++owner_.counters_.malformed;
            return reply(now, bad.status, bad.why + "\n");
        }
        if (late) return turnAway(now, std::chrono::milliseconds(100));
        arrival->job.body = std::move(message.body);
        arrival->client = shared_from_this();
        open_ = true;
        const TransactionId id = owner_.core_.arrive(now, std::move(*arrival));
        if (open_) transaction_ = id;
    }

    void stateChanged(Time, State to) override {
        if (to == State::idle)
            owner_.connections_.splice(owner_.connections_.end(), owner_.connections_, place);
    }
    void left(Time now) override {
        if (open_ && transaction_) owner_.core_.clientLeft(now, transaction_);
        open_ = false;
    }
    void gone(Time, End how) override {
        ++owner_.counters_.ends[static_cast<std::size_t>(how)];
        owner_.connections_.erase(place);
    }

    Front& owner_;
    TransactionId transaction_ = 0;
    bool open_ = false;
};

Front::Front(Core& core, Servers& servers, Deadlines& deadlines)
    : core_(core), servers_(servers), deadlines_(deadlines) {}
Front::~Front() = default;

std::shared_ptr<wire::Machine> Front::accept(Time now) {
    ++counters_.connections;
    auto connection = std::make_shared<Connection>(*this, now);
    connections_.push_back(connection);
    connection->place = std::prev(connections_.end());
    return connection;
}

void Front::drain(Time now) {
    if (turnAway_) return;
    turnAway_ = now + HandOver::of(core_.site()).turnAway;
    handOver_.arm(deadlines_, *turnAway_, [this](Time at) {
        for (const auto& connection : connections_) connection->lastOne();
        // Guards against a request that meets the process's end unread: a client whose idle connection is
        // closed in time sends it again elsewhere.
        while (relieve(at)) {
        }
    });
}

bool Front::relieve(Time now) {
    for (const auto& connection : connections_)
        if (connection->state() == http::Server::State::idle && connection->out().empty()) {
            const auto keep = connection;
            keep->closeIdle(now);
            return true;
        }
    return false;
}

bool Front::quiet() const {
    for (const auto& connection : connections_)
        if (connection->state() == http::Server::State::waiting || !connection->out().empty()) return false;
    return true;
}

}  // namespace amberswitch::platform
