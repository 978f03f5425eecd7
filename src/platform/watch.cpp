#include "platform/watch.hpp"

namespace amberswitch::platform {

using namespace settings;
using heronmount::RosterMode;

class Watch::Connection : public http::Client, public std::enable_shared_from_this<Connection> {
public:
    explicit Connection(Watch& owner) : owner_(owner) {}

private:
    void answered(Time now, http::Message message, bool) override { owner_.answered(now, message); }
    void over(Time now, End) override {
        const auto self = shared_from_this();
        if (owner_.connection_ != self) return;
        owner_.connection_ = nullptr;
        if (owner_.running_ && owner_.due_.armed()) owner_.lost(now);
    }

    Watch& owner_;
};

Watch::Watch(Core& core, Servers& servers, Deadlines& deadlines, wire::Connector& connector,
             std::string address)
    : core_(core),
      servers_(servers),
      deadlines_(deadlines),
      connector_(connector),
      address_(std::move(address)) {}

Watch::~Watch() = default;

void Watch::known(Time now, const object& list) {
    take(now, list, true);
}

void Watch::watch(Time now) {
    if (running_) return;
    running_ = true;
    ask(now);
}

void Watch::ask(Time now) {
    ++calls_;
    due_.arm(deadlines_, now + Nanos(kWait * 1'000'000) + kGrace, [this](Time at) { lost(at); });
    const bool fresh = !connection_ || connection_->state() != http::Client::State::idle;
    if (fresh) connection_ = std::make_shared<Connection>(*this);
    const auto connection = connection_;
    connection->ask("GET /api/targets?index=" + std::to_string(version_) + "&wait=" + std::to_string(kWait) +
                    " HTTP/1.1\r\nHost: " + address_ + "\r\n\r\n");
    if (fresh) connector_.connect(now, connection, address_);
}

void Watch::answered(Time now, const http::Message& message) {
    due_.disarm();
    object list;
    if (message.status != 200 || json_.parse(message.body).get(list) != simdjson::SUCCESS) return lost(now);
    try {
        take(now, list, false);
    } catch (const BadField&) {
        return lost(now);
    }
    // The next call follows at once: a gap would end the watch.
    if (running_) ask(now);
}

// The old list still holds; the module says when to ask again.
void Watch::lost(Time now) {
    due_.disarm();
    running_ = false;
    if (const auto connection = std::exchange(connection_, nullptr)) connection->close(now, End::timedOut);
    core_.farmLost(now);
}

void Watch::take(Time now, const object& from, bool stale) {
    const FarmList list = readFarm(core_.site(), from);
    for (std::size_t i = 0; i < list.entries.size(); ++i) {
        const std::string& name = list.entries[i].name;
        servers_.learn(now, core_.handleOf(name), name, list.addresses[i]);
    }
    version_ = list.version;
    core_.farm(now, servers_,
               stale        ? RosterMode::stale
               : list.whole ? RosterMode::whole
                            : RosterMode::changes,
               list.entries);
}

}  // namespace amberswitch::platform
