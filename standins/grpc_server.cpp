#include <algorithm>

#include "standins/grpc.hpp"

namespace amberswitch::standins {

std::string message(std::string_view payload) {
    std::string out(1, '\0');
    for (int shift = 24; shift >= 0; shift -= 8) out += static_cast<char>(payload.size() >> shift & 0xff);
    return out += payload;
}

std::vector<std::string> messages(std::string& bytes) {
    std::vector<std::string> out;
    std::size_t at = 0;
    while (bytes.size() - at >= 5) {
        std::size_t size = 0;
        for (std::size_t i = 1; i < 5; ++i) size = size << 8 | static_cast<unsigned char>(bytes[at + i]);
        if (bytes.size() - at - 5 < size) break;
        out.push_back(bytes.substr(at + 5, size));
        at += 5 + size;
    }
    bytes.erase(0, at);
    return out;
}

std::string frame(unsigned char type, unsigned char flags, std::uint32_t stream, std::string_view payload) {
    std::string out;
    for (int shift = 16; shift >= 0; shift -= 8) out += static_cast<char>(payload.size() >> shift & 0xff);
    out += static_cast<char>(type), out += static_cast<char>(flags);
    for (int shift = 24; shift >= 0; shift -= 8) out += static_cast<char>(stream >> shift & 0xff);
    return out += payload;
}

bool RawPeer::heardFrame(unsigned char type) const {
    for (std::size_t at = 0; at + 9 <= heard.size();) {
        const auto byte = [&](std::size_t i) {
            return static_cast<std::size_t>(static_cast<unsigned char>(heard[at + i]));
        };
        if (byte(3) == type) return true;
        at += 9 + (byte(0) << 16 | byte(1) << 8 | byte(2));
    }
    return false;
}

class GrpcServer::Connection : public http2::Session {
public:
    Connection(GrpcServer& owner, Time now)
        : Session(Side::server, owner.limits_, owner.loop_.deadlines(), owner.counters_, now),
          owner_(owner) {}
    std::shared_ptr<http2::Exchange> begun(Time now, http2::StreamId id) override;
    void gone(Time, End) override { owner_.connections_.erase(place); }
    void speakGarbage(Time now) {
        out().put("HTTP/1.1 200 OK\r\nthis is no frame at all, nor will it ever be\r\n");
        wake();
        (void)now;
    }
    std::list<std::shared_ptr<Connection>>::iterator place;

private:
    GrpcServer& owner_;
};

class GrpcServer::Call : public http2::Exchange, public std::enable_shared_from_this<GrpcServer::Call> {
public:
    Call(GrpcServer& owner, std::weak_ptr<Connection> on, http2::StreamId id)
        : owner_(owner), on_(std::move(on)), id_(id) {}

    void headed(Time now, Fields fields) override {
        number_ = owner_.ledger.size();
        owner_.calls_[number_] = weak_from_this();
        Execution seen;
        seen.at = now;
        if (const auto* path = http2::find(fields, ":path")) seen.path = *path;
        if (const auto* key = http2::find(fields, "idempotency-key")) seen.key = *key;
        if (owner_.keepHeads) seen.head = std::move(fields);
        owner_.ledger.push_back(std::move(seen));
        play_ = owner_.script_(owner_.ledger.back(), number_);
        const bool unrun = play_.part == Part::goAwayBelow ||
                           (play_.part == Part::reset && play_.code == http2::Code::refusedStream) ||
                           http2::find(play_.head, "x-never-ran");
        owner_.ledger[number_].unrun = unrun;
        owner_.ledger[number_].part = static_cast<int>(play_.part);
        if (const std::string& key = owner_.ledger[number_].key; !key.empty() && !unrun) ++owner_.byKey[key];
        begin(now);
    }
    void received(Time now, std::string_view bytes) override {
        seen().bytes += bytes.size();
        request_.append(bytes);
        for (auto& payload : messages(request_)) {
            ++seen().messages;
            if (play_.part == Part::answer && headSent_) put(now, payload);
        }
        if (const auto on = on_.lock()) on->consumed(now, id_, bytes.size());
    }
    void receivedAll(Time now, Fields) override {
        seen().requestEnded = true;
        if (play_.part == Part::answer && headSent_) finish(now);
    }
    std::size_t pull(Time, std::span<char> into, bool& last) override {
        std::size_t n = 0;
        while (n < into.size()) {
            if (out_.empty() && left_ > 0) --left_, out_ = message(std::string(play_.bytes, 'm'));
            if (out_.empty()) break;
            const std::size_t most = std::min(into.size() - n, out_.size() - at_);
            std::copy_n(out_.data() + at_, most, into.data() + n);
            n += most, at_ += most;
            if (at_ == out_.size()) out_.clear(), at_ = 0;
        }
        last = finishing_ && out_.empty() && left_ == 0;
        return n;
    }
    Fields trailers() override { return std::move(trailers_); }
    void closed(Time, const http2::Ending& ending) override {
        if (!finishing_ && (ending.byPeer || ending.connection)) seen().cancelled = true;
        owner_.calls_.erase(number_);
    }
    void play(Time now, Play next) {
        play_ = std::move(next);
        begin(now);
    }

private:
    Execution& seen() { return owner_.ledger[number_]; }

    void begin(Time now) {
        if (play_.after.count() == 0) return act(now);
        const auto self = shared_from_this();
        owner_.loop_.deadlines().once(now + play_.after, [self](Time at) { self->act(at); });
    }
    void head(Time now) {
        if (std::exchange(headSent_, true)) return;
        Fields fields = {{":status", "200"}, {"content-type", "application/grpc+proto"}};
        fields.insert(fields.end(), play_.head.begin(), play_.head.end());
        if (const auto on = on_.lock()) on->answer(now, id_, fields, false);
    }
    void put(Time now, std::string_view payload) {
        out_ += message(payload);
        if (const auto on = on_.lock()) on->resume(now, id_);
    }
    Fields end() const {
        Fields fields = {{"grpc-status", std::to_string(play_.status)}};
        fields.insert(fields.end(), play_.trailers.begin(), play_.trailers.end());
        return fields;
    }
    void finish(Time now) {
        head(now);
        trailers_ = end();
        finishing_ = true, seen().answered = true;
        if (const auto on = on_.lock()) on->resume(now, id_);
    }
    void act(Time now) {
        const auto on = on_.lock();
        if (!on || owner_.calls_.find(number_) == owner_.calls_.end()) return;
        switch (play_.part) {
            case Part::answer:
                head(now);
                for (std::uint64_t i = 0; i < seen().messages; ++i) put(now, "late");
                if (seen().requestEnded) finish(now);
                return;
            case Part::stream:
                left_ = play_.count;
                return finish(now);
            case Part::stall:
                return;
            case Part::resetAfterHead:
                head(now);
                [[fallthrough]];
            case Part::reset:
                return on->reset(now, id_, play_.code);
            case Part::trailersOnly: {
                Fields fields = {{":status", "200"}, {"content-type", "application/grpc"}};
                for (const auto& field : end()) fields.push_back(field);
                fields.insert(fields.end(), play_.head.begin(), play_.head.end());
                finishing_ = true, seen().answered = true;
                return on->answer(now, id_, fields, true);
            }
            case Part::endsThenResets: {
                head(now);
                put(now, "early");
                finish(now);
                const auto self = shared_from_this();
                owner_.loop_.deadlines().once(now, [self, code = play_.code](Time at) {
                    if (const auto session = self->on_.lock()) session->reset(at, self->id_, code);
                });
                return;
            }
            case Part::early:
                head(now);
                put(now, "early");
                return finish(now);
            case Part::endsMidStream:
                head(now);
                put(now, "part");
                return finish(now);
            case Part::breaksAfterHead:
                head(now);
                put(now, "part");
                owner_.loop_.deadlines().once(now, [on](Time at) { on->close(at, End::peerReset); });
                return;
            case Part::breaksConnection:
                // Not from within the session's own call.
                owner_.loop_.deadlines().once(now, [on](Time at) { on->close(at, End::peerReset); });
                return;
            case Part::goAway:
                on->leave(now);
                play_.part = Part::answer;
                return act(now);
            case Part::goAwayBelow:
                // It vouches that this call and all that came after it were not begun.
                for (const auto& [number, other] : owner_.calls_)
                    if (const auto call = other.lock();
                        call && call->id_ > id_ && call->on_.lock() == on && !call->headSent_) {
                        auto& entry = owner_.ledger[number];
                        if (!entry.key.empty() && !std::exchange(entry.unrun, true))
                            --owner_.byKey[entry.key];
                    }
                return on->leave(now, std::max(0, id_ - 2));
            case Part::bare:
                return on->answer(now, id_, {{":status", "503"}, {"content-type", "text/html"}}, true);
            case Part::garbage:
                return on->speakGarbage(now);
        }
    }

    GrpcServer& owner_;
    std::weak_ptr<Connection> on_;
    http2::StreamId id_;
    std::size_t number_ = 0;
    Play play_;
    std::string request_, out_;
    std::size_t at_ = 0, left_ = 0;
    bool headSent_ = false, finishing_ = false;
    Fields trailers_;
};

std::shared_ptr<http2::Exchange> GrpcServer::Connection::begun(Time, http2::StreamId id) {
    return std::make_shared<Call>(owner_, std::static_pointer_cast<Connection>(shared_from_this()), id);
}

GrpcServer::GrpcServer(net::Loop& loop, Script script, http2::Limits limits, unsigned short port)
    : loop_(loop), script_(std::move(script)), limits_(limits) {
    limits_.ping = Nanos(0);
    listener_ = std::make_unique<net::Listener>(
        loop, net::tcp::endpoint(net::asio::ip::make_address("127.0.0.1"), port), [this](Time now) {
            const auto made = std::make_shared<Connection>(*this, now);
            connections_.push_back(made);
            made->place = std::prev(connections_.end());
            return made;
        });
    address_ = "127.0.0.1:" + std::to_string(listener_->address().port());
}
GrpcServer::~GrpcServer() = default;

void GrpcServer::play(Time now, std::size_t number, Play next) {
    if (const auto call = calls_[number].lock()) call->play(now, std::move(next));
}

void GrpcServer::goAway(Time now) {
    const auto all = connections_;
    for (const auto& connection : all) connection->leave(now);
}

void GrpcServer::cut(Time now) {
    const auto all = connections_;
    for (const auto& connection : all) connection->close(now, End::peerReset);
}

std::size_t GrpcServer::open() const {
    return calls_.size();
}

}  // namespace amberswitch::standins
