#include "control/control.hpp"

namespace amberswitch::control {

class Control::Connection : public http::Server, public std::enable_shared_from_this<Connection> {
public:
    Connection(Control& owner, Time now) : http::Server(owner.deadlines_, now), owner_(owner) { lastOne(); }

    Connections::iterator position;
    Progress progress = nothing;

private:
    void stateChanged(Time, State to) override {
        if (to == State::reading) advance(part);
        if (to == State::waiting) advance(call);
    }

    void advance(Progress what) {
        if (what <= progress) return;
        auto& from = owner_.connections_[progress];
        progress = what;
        auto& into = owner_.connections_[progress];
        into.splice(into.end(), from, position);
    }

    void request(Time now, http::Message message) override {
        ++owner_.counters_.calls;
        service::Service& service = owner_.service_;
        const std::string_view path = message.path();
        const auto allows = [&](std::string_view method) {
            if (message.method == method) return true;
            refuse(now, 405, "Allow: " + std::string(method) + "\r\n");
            return false;
        };
        const auto replyState = [&](bool ok) {
            reply(now, ok ? 200 : 409, std::string(service::nameOf(service.state())) + "\n");
        };
        if (path == "/control/ready") {
            if (allows("GET"))
                reply(now, service.ready() ? 200 : 503, std::string(service::nameOf(service.state())) + "\n");
        } else if (path == "/control/counters") {
            if (allows("GET")) reply(now, 200, owner_.formatCounters_());
        } else if (path == "/control/out-of-service") {
            if (allows("POST")) replyState(service.outOfService(now));
        } else if (path == "/control/in-service") {
            if (allows("POST")) replyState(service.inService(now));
        } else {
            refuse(now, 404, {});
        }
    }

    void refuse(Time now, int status, const std::string& extra) {
        ++owner_.counters_.refused;
        reply(now, status, std::string(http::reasonOf(status)) + "\n", extra);
    }

    void gone(Time, End how) override {
        ++owner_.counters_.ends[static_cast<std::size_t>(how)];
        --owner_.open_;
        owner_.connections_[progress].erase(position);
    }

    Control& owner_;
};

Control::Control(Deadlines& deadlines, service::Service& service, FormatCounters formatCounters,
                 std::size_t maxConnections)
    : deadlines_(deadlines),
      service_(service),
      formatCounters_(std::move(formatCounters)),
      maxConnections_(maxConnections) {}
Control::~Control() = default;

std::shared_ptr<wire::Machine> Control::accept(Time now) {
    ++counters_.connections;
    // Silent connections must not keep new ones out.
    while (open_ >= maxConnections_ && closeLeastProgressed(now)) {
    }
    auto connection = std::make_shared<Connection>(*this, now);
    connections_[nothing].push_back(connection);
    connection->position = std::prev(connections_[nothing].end());
    ++open_;
    return connection;
}

bool Control::closeLeastProgressed(Time now) {
    for (const Connections& callers : connections_)
        if (!callers.empty()) {
            ++counters_.evicted;
            const auto oldest = callers.front();
            oldest->close(now, End::silent);
            return true;
        }
    return false;
}

bool Control::quiet() const {
    for (const auto& caller : connections_[call])
        if (!caller->out().empty()) return false;
    return true;
}

}  // namespace amberswitch::control
