#include "control/control.hpp"

namespace amberswitch::control {

class Control::Connection : public http::Server, public std::enable_shared_from_this<Connection> {
public:
    Connection(Control& owner, Time now) : http::Server(owner.deadlines_, now), owner_(owner) { lastOne(); }

    Connections::iterator place;
    Shown shown = nothing;

private:
    void stateChanged(Time, State to) override {
        if (to == State::reading) show(part);
        if (to == State::waiting) show(call);
    }

    void show(Shown what) {
        if (what <= shown) return;
        auto& from = owner_.connections_[shown];
        shown = what;
        auto& into = owner_.connections_[shown];
        into.splice(into.end(), from, place);
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
        const auto standing = [&](bool yes) {
            reply(now, yes ? 200 : 409, std::string(service::nameOf(service.standing())) + "\n");
        };
        if (path == "/control/ready") {
            if (allows("GET"))
                reply(now, service.ready() ? 200 : 503,
                      std::string(service::nameOf(service.standing())) + "\n");
        } else if (path == "/control/counters") {
            if (allows("GET")) reply(now, 200, owner_.figures_());
        } else if (path == "/control/out-of-service") {
            if (allows("POST")) standing(service.outOfService(now));
        } else if (path == "/control/in-service") {
            if (allows("POST")) standing(service.inService(now));
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
        owner_.connections_[shown].erase(place);
    }

    Control& owner_;
};

Control::Control(Deadlines& deadlines, service::Service& service, Figures figures, std::size_t places)
    : deadlines_(deadlines), service_(service), figures_(std::move(figures)), places_(places) {}
Control::~Control() = default;

std::shared_ptr<wire::Machine> Control::accept(Time now) {
    ++counters_.connections;
    // Guards against callers that hold a connection and say nothing: a new one always finds a place.
    while (open_ >= places_ && pushOut(now)) {
    }
    auto connection = std::make_shared<Connection>(*this, now);
    connections_[nothing].push_back(connection);
    connection->place = std::prev(connections_[nothing].end());
    ++open_;
    return connection;
}

bool Control::pushOut(Time now) {
    for (const Connections& callers : connections_)
        if (!callers.empty()) {
            ++counters_.pushedOut;
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
