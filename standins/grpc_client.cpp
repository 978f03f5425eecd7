#include <algorithm>
#include <charconv>

#include "standins/grpc.hpp"

namespace amberswitch::standins {

long GrpcClient::Outcome::pushback() const {
    const std::string* const value = http2::find(trailers, "grpc-retry-pushback-ms");
    return value ? std::stol(*value) : -2;
}

class GrpcClient::Connection : public http2::Session {
public:
    Connection(GrpcClient& owner, const http2::Limits& limits)
        : Session(Side::client, limits, owner.loop_.deadlines(), owner.counters_, owner.loop_.now()) {}
    bool left = false, over = false;

private:
    void peerLeaves(Time) override { left = true; }
    void gone(Time, End) override { over = true; }
};

class GrpcClient::Call : public http2::Exchange {
public:
    Call(GrpcClient& owner, std::size_t number, bool reads) : owner_(owner), number_(number), reads_(reads) {}

    void headed(Time now, Fields fields) override {
        Outcome& outcome = of();
        if (const auto* status = http2::find(fields, "grpc-status")) {
            outcome.trailersOnly = true;
            outcome.trailers = fields;
            told(now, *status);
        }
        outcome.head = std::move(fields);
    }
    void received(Time now, std::string_view bytes) override {
        of().received += bytes.size();
        if (of().bytes.size() < (1 << 20)) of().bytes.append(bytes);
        if (reads_)
            owner_.connection_->consumed(now, id, bytes.size());
        else
            unread_ += bytes.size();
    }
    void receivedAll(Time now, Fields trailers) override {
        if (of().trailersOnly) return;
        if (const auto* status = http2::find(trailers, "grpc-status")) told(now, *status);
        of().trailers = std::move(trailers);
    }
    std::size_t pull(Time, std::span<char> into, bool& last) override {
        const std::size_t n = std::min(into.size(), out.size() - at_);
        std::copy_n(out.data() + at_, n, into.data());
        at_ += n, of().sent += n;
        if (at_ == out.size()) out.clear(), at_ = 0;
        last = ends && out.empty();
        return n;
    }
    void closed(Time now, const http2::Ending& ending) override {
        of().closed = true, of().resetBy = ending.code;
        if (of().status < 0) of().at = now;
    }
    void readOn(Time now) {
        reads_ = true;
        owner_.connection_->consumed(now, id, std::exchange(unread_, 0));
    }

    http2::StreamId id = 0;
    std::string out;
    bool ends = false;

private:
    Outcome& of() { return owner_.outcomes[number_]; }
    void told(Time now, const std::string& status) {
        ++of().statuses, of().at = now;
        std::from_chars(status.data(), status.data() + status.size(), of().status);
    }

    GrpcClient& owner_;
    std::size_t number_, at_ = 0, unread_ = 0;
    bool reads_;
};

GrpcClient::GrpcClient(net::Loop& loop, const net::tcp::endpoint& to, http2::Limits limits) : loop_(loop) {
    limits.ping = Nanos(0);
    connection_ = std::make_shared<Connection>(*this, limits);
    net::Link::connect(loop, connection_, to);
}
GrpcClient::~GrpcClient() {
    connection_->close(loop_.now(), End::peerClosed);
}

std::size_t GrpcClient::call(Time now, const Ask& ask) {
    const std::size_t number = outcomes.size();
    outcomes.emplace_back();
    const auto made = std::make_shared<Call>(*this, number, ask.reads);
    calls_.push_back(made);
    for (const auto& payload : ask.payloads) made->out += message(payload);
    made->ends = ask.ends;
    Fields head = {{":method", "POST"}, {":scheme", "http"},
                   {":path", ask.path}, {":authority", "dispatch.internal"},
                   {"te", "trailers"},  {"content-type", "application/grpc+proto"}};
    head.insert(head.end(), ask.metadata.begin(), ask.metadata.end());
    const auto id = connection_->open(now, head, made);
    if (id)
        made->id = *id;
    else
        outcomes[number].closed = true;
    return number;
}

void GrpcClient::send(Time now, std::size_t number, std::string_view payload) {
    calls_[number]->out += message(payload);
    connection_->resume(now, calls_[number]->id);
}

void GrpcClient::end(Time now, std::size_t number) {
    calls_[number]->ends = true;
    connection_->resume(now, calls_[number]->id);
}

void GrpcClient::cancel(Time now, std::size_t number) {
    connection_->reset(now, calls_[number]->id, http2::Code::cancel);
}

void GrpcClient::readOn(Time now, std::size_t number) {
    calls_[number]->readOn(now);
}

void GrpcClient::hangUp(Time now) {
    connection_->close(now, End::peerClosed);
}

bool GrpcClient::connected() const {
    return connection_->connected() && !connection_->over;
}

bool GrpcClient::toldToLeave() const {
    return connection_->left;
}

std::size_t GrpcClient::unanswered() const {
    return static_cast<std::size_t>(
        std::count_if(outcomes.begin(), outcomes.end(), [](const Outcome& o) { return !o.closed; }));
}

}  // namespace amberswitch::standins
