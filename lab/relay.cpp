#include "lab/relay.hpp"

namespace amberswitch::lab {

void Path::changed(Time now) {
    const std::set<Relay*> all = open;
    for (Relay* const one : all)
        if (open.count(one)) one->pump(now);
}

void Path::breakAll(Time now) {
    while (!open.empty()) (*open.begin())->breakOff(now);
}

Relay::Relay(Deadlines& deadlines, std::shared_ptr<Path> path, std::shared_ptr<wire::Machine> inner,
             std::function<Time()> clock, bool accepted)
    : deadlines_(deadlines),
      path_(std::move(path)),
      inner_(std::move(inner)),
      clock_(std::move(clock)),
      up_(accepted) {
    inner_->attach(this);
    path_->open.insert(this);
}

Relay::~Relay() {
    path_->open.erase(this);
    if (inner_) inner_->attach(nullptr);
}

void Relay::opened(Time now) {
    up_ = true;
    const auto inner = inner_;
    if (inner) inner->opened(now);
    pump(now);
}

void Relay::received(Time now) {
    pump(now);
}

void Relay::sent(Time now) {
    pump(now);
}

void Relay::ended(Time now, End how) {
    if (gone_) return;
    over_ = how;
    pump(now);
}

bool Relay::finished() const {
    return gone_ || (inner_ && inner_->finished() && inner_->out().empty() && to_.bytes.empty());
}

void Relay::wake() {
    pump(clock_());
}

// The side of the rig closes: what it wrote before has gone its way already.
void Relay::drop() {
    if (std::exchange(gone_, true)) return;
    path_->open.erase(this);
    due_.disarm();
    wire::Machine::drop();
}

void Relay::breakOff(Time now) {
    const auto self = shared_from_this();
    if (std::exchange(gone_, true)) return;
    path_->open.erase(this);
    due_.disarm();
    wire::Machine::drop();
    if (const auto inner = std::exchange(inner_, nullptr)) {
        inner->attach(nullptr);
        inner->ended(now, End::peerReset);
    }
}

void Relay::add(Way& way, Time now, std::string bytes) {
    Time due = now + path_->delay;
    if (path_->bytesPerSecond > 0) {
        way.free =
            std::max(way.free, now) +
            Nanos(static_cast<std::int64_t>(1e9 * static_cast<double>(bytes.size()) / path_->bytesPerSecond));
        due = std::max(due, way.free);
    }
    way.held += bytes.size();
    way.bytes.push_back({due, std::move(bytes)});
}

// Hands on what is due, and says when more will be.
std::optional<Time> Relay::move(Way& way, Time now, bool cut, bool toInner) {
    while (!cut && !gone_ && !way.bytes.empty()) {
        Piece& piece = way.bytes.front();
        if (piece.due > now) return piece.due;
        std::size_t n = piece.bytes.size();
        if (path_->split > 0) n = std::min(n, path_->split);
        if (path_->resetAfter > 0) n = std::min(n, path_->resetAfter - std::min(passed_, path_->resetAfter));
        const std::string_view bytes(piece.bytes.data(), n);
        std::size_t done = n;
        if (toInner) {
            done = inner_->in().put(bytes);
            if (done == 0) return std::nullopt;
        } else {
            out().put(bytes);
        }
        passed_ += done, way.held -= done;
        const bool whole = done == piece.bytes.size();
        if (whole)
            way.bytes.pop_front();
        else
            piece.bytes.erase(0, done);
        if (toInner) {
            const auto inner = inner_;
            inner->received(now);
        } else {
            Machine::wake();
        }
        if (!gone_ && path_->resetAfter > 0 && passed_ >= path_->resetAfter) {
            breakOff(now);
            return std::nullopt;
        }
        if (!whole && path_->split > 0) {  // the rest follows as a write of its own
            way.bytes.front().due = now + std::chrono::milliseconds(1);
            return way.bytes.front().due;
        }
    }
    return std::nullopt;
}

void Relay::pump(Time now) {
    if (std::exchange(pumping_, true)) return;
    const auto self = shared_from_this();
    std::optional<Time> next;
    for (bool again = true; again && !gone_;) {
        again = false;
        while (!in().empty() && from_.held < kMostHeld) {
            const auto bytes = in().front();
            add(from_, now, std::string(bytes.data(), bytes.size()));
            in().taken(bytes.size());
            Machine::wake();
        }
        while (up_ && inner_ && !inner_->out().empty() && to_.held < kMostHeld) {
            const auto bytes = inner_->out().pending();
            add(to_, now, std::string(bytes.data(), bytes.size()));
            inner_->out().sent(bytes.size());
            inner_->sent(now);
            again = true;
        }
        if (gone_) break;
        const std::size_t waiting = from_.held;
        const auto a = move(from_, now, path_->cutFrom, true);
        const auto b = move(to_, now, path_->cutTo, false);
        if (from_.held != waiting) again = true;
        next = a && b ? std::min(*a, *b) : a ? a : b;
    }
    pumping_ = false;
    if (gone_) return;
    // Its end follows the bytes before it, where it can be heard at all.
    if (over_ && from_.bytes.empty() && !path_->cutFrom) {
        gone_ = true;
        path_->open.erase(this);
        due_.disarm();
        if (const auto inner = std::exchange(inner_, nullptr)) {
            inner->attach(nullptr);
            inner->ended(now, *over_);
        }
        return;
    }
    if (inner_ && inner_->finished()) Machine::wake();
    if (next) due_.arm(deadlines_, *next, [this](Time at) { pump(at); });
}

}  // namespace amberswitch::lab
