#include "platform/long_poll.hpp"

namespace amberswitch::platform {

class LongPoll::Connection : public http::Client, public std::enable_shared_from_this<Connection> {
public:
    explicit Connection(LongPoll& owner) : http::Client(kMostList), owner_(owner) {}

private:
    void answered(Time now, http::Message message, bool) override { owner_.answered(now, message); }
    void over(Time now, End) override {
        const auto self = shared_from_this();
        if (owner_.connection_ != self) return;
        owner_.connection_ = nullptr;
        // Guards against a connection that ends while the next turn is waited for being taken for a call that
        // failed: there was none.
        const bool paced = owner_.pace_.gap.count() > 0;
        if (owner_.running_ && owner_.due_.armed() && (owner_.out_ || paced))
            owner_.lost(now, start::CallFailure::refused);
    }

    LongPoll& owner_;
};

LongPoll::LongPoll(Core& core, Deadlines& deadlines, wire::Connector& connector, std::string address,
                   Pace pace)
    : core_(core), deadlines_(deadlines), connector_(connector), address_(std::move(address)), pace_(pace) {}

// Guards against a connection that outlives who asked over it: it would tell its end to nobody.
LongPoll::~LongPoll() {
    if (const auto last = std::exchange(connection_, nullptr)) last->close(Time(0), End::shutDown);
}

void LongPoll::watch(Time now) {
    if (running_) return;
    running_ = true;
    ask(now);
}

void LongPoll::begin(Time at) {
    if (std::exchange(running_, true)) return;
    due_.arm(deadlines_, at, [this](Time then) { ask(then); });
}

void LongPoll::hasten(Time now) {
    running_ = true;
    if (!out_) ask(now);
}

void LongPoll::move(Time now, std::string address) {
    if (address == address_) return;
    address_ = std::move(address);
    hurryUntil_ = now + kHurry;
    forgotten(true);
    if (const auto old = std::exchange(connection_, nullptr)) old->close(now, End::withdrawn);
    running_ = true;
    ask(now);
}

void LongPoll::ask(Time now) {
    ++calls_;
    asked_ = now, out_ = true;
    wait_ = waits() ? mostWait() : Nanos(0);
    due_.arm(deadlines_, now + wait_ + grace(), [this](Time at) { lost(at, start::CallFailure::silent); });
    const bool fresh = !connection_ || connection_->state() != http::Client::State::idle;
    if (fresh) connection_ = std::make_shared<Connection>(*this);
    const auto connection = connection_;
    connection->ask("GET " + target() + " HTTP/1.1\r\nHost: " + address_ + "\r\n" + headers() + "\r\n");
    if (fresh) connector_.connect(now, connection, address_);
}

void LongPoll::answered(Time now, const http::Message& message) {
    due_.disarm();
    out_ = false;
    const bool waited = waits();
    if (message.status != 200 || !take(now, message)) {
        Time notBefore{0};
        if (const std::string* const wait = message.header("retry-after"))
            if (const auto seconds = http::decimalNumber(*wait))
                notBefore = now + Nanos(static_cast<std::int64_t>(1e9 * std::min(*seconds, kMostAdvice)));
        return lost(now, start::CallFailure::busy, notBefore);
    }
    const auto turn = replied(now, now - asked_, waited);
    if (!running_) return;
    if (turn) return due_.arm(deadlines_, *turn, [this](Time at) { ask(at); });
    // Where a gap would end the watch, the next call follows at once.
    if (pace_.gap.count() == 0) return ask(now);
    due_.arm(deadlines_, now + pace_.gap, [this](Time at) { ask(at); });
}

// The old list still holds. When to ask again is for its turns to say, else for the pace or the module.
void LongPoll::lost(Time now, start::CallFailure how, Time notBefore) {
    due_.disarm();
    out_ = false;
    // A service that is busy is spared a new connection.
    if (how != start::CallFailure::busy || !connection_ || connection_->state() != http::Client::State::idle)
        if (const auto connection = std::exchange(connection_, nullptr))
            connection->close(now, End::timedOut);
    forgotten(false);
    if (now < hurryUntil_) return due_.arm(deadlines_, now + kHurryGap, [this](Time at) { ask(at); });
    if (const auto turn = nextTurn(now, how, notBefore)) {
        core_.rosterLost(now, false);
        return due_.arm(deadlines_, *turn, [this](Time at) { ask(at); });
    }
    core_.rosterLost(now, pace_.again.count() == 0);
    if (pace_.again.count() > 0) return due_.arm(deadlines_, now + pace_.again, [this](Time at) { ask(at); });
    running_ = false;
}

}  // namespace amberswitch::platform
