#include "http2/session.hpp"

#include <nghttp2/nghttp2.h>

#include <algorithm>

namespace amberswitch::http2 {

namespace {

// Bytes that are handed to the driver at a time: about one frame, so that a stream which becomes ready soon
// needn't wait behind what others have queued.
constexpr std::size_t kAhead = wire::Ring::kSize;
constexpr std::int32_t kConnectionWindow = 1 << 20;

std::vector<nghttp2_nv> pairsOf(const Fields& fields) {
    std::vector<nghttp2_nv> out;
    out.reserve(fields.size());
    const auto bytes = [](const std::string& text) {
        return reinterpret_cast<std::uint8_t*>(const_cast<char*>(text.data()));
    };
    for (const auto& [name, value] : fields)
        out.push_back({bytes(name), bytes(value), name.size(), value.size(), NGHTTP2_NV_FLAG_NONE});
    return out;
}

}  // namespace

const std::string* find(const Fields& fields, std::string_view name) {
    for (const auto& [field, value] : fields)
        if (field == name) return &value;
    return nullptr;
}

// What nghttp2 calls back, in words of the session.
struct Session::Callbacks {
    static Session& of(void* user) { return *static_cast<Session*>(user); }

    // Frames of kinds that are not known are thrown away, but counted like others that carry nothing.
    static int unpack(nghttp2_session*, void** payload, const nghttp2_frame_hd*, void*) {
        *payload = nullptr;
        return 0;
    }

    static int beginHeaders(nghttp2_session*, const nghttp2_frame* frame, void* user) {
        Session& s = of(user);
        s.headOpen_ = true, s.headSince_ = s.now_;
        s.watch(s.now_ + s.limits_.begin);
        if (s.side_ == Side::server && frame->headers.cat == NGHTTP2_HCAT_REQUEST) {
            ++s.counters_.streams;
            s.streams_[frame->hd.stream_id];
        }
        return 0;
    }

    static int header(nghttp2_session*, const nghttp2_frame* frame, const std::uint8_t* name,
                      std::size_t nameSize, const std::uint8_t* value, std::size_t valueSize, std::uint8_t,
                      void* user) {
        Session& s = of(user);
        Stream* const stream = s.find(frame->hd.stream_id);
        if (!stream) return 0;
        stream->headBytes += nameSize + valueSize + 32;
        if (stream->headBytes > s.limits_.headBytes) {
            stream->tooLong = true;
            return 0;
        }
        stream->fields.emplace_back(std::string(reinterpret_cast<const char*>(name), nameSize),
                                    std::string(reinterpret_cast<const char*>(value), valueSize));
        return 0;
    }

    static int frameReceived(nghttp2_session*, const nghttp2_frame* frame, void* user) {
        Session& s = of(user);
        const StreamId id = frame->hd.stream_id;
        const bool last = frame->hd.flags & NGHTTP2_FLAG_END_STREAM;
        switch (frame->hd.type) {
            case NGHTTP2_HEADERS:
                s.headOpen_ = false;
                s.headComplete(id, last);
                return 0;
            case NGHTTP2_DATA:
                if (last) {
                    if (Stream* const stream = s.find(id); stream && !std::exchange(stream->peerEnded, true))
                        if (const auto exchange = stream->exchange) exchange->receivedAll(s.now_, {});
                } else if (frame->hd.length == 0) {
                    return s.bear(s.now_) ? 0 : NGHTTP2_ERR_CALLBACK_FAILURE;
                }
                return 0;
            case NGHTTP2_RST_STREAM:
                if (Stream* const stream = s.find(id)) stream->peerReset = true;
                return s.bear(s.now_) ? 0 : NGHTTP2_ERR_CALLBACK_FAILURE;
            case NGHTTP2_SETTINGS:
                s.begun_ = true;
                if (!(frame->hd.flags & NGHTTP2_FLAG_ACK)) s.settled(s.now_);
                return s.bear(s.now_) ? 0 : NGHTTP2_ERR_CALLBACK_FAILURE;
            case NGHTTP2_PING:
                if (frame->hd.flags & NGHTTP2_FLAG_ACK) s.pinged_ = false;
                return s.bear(s.now_) ? 0 : NGHTTP2_ERR_CALLBACK_FAILURE;
            case NGHTTP2_GOAWAY:
                s.peersLast_ = frame->goaway.last_stream_id;
                ++s.counters_.goAways;
                // Guards against asking too often a peer that counts signs of life as an attack.
                if (frame->goaway.error_code == NGHTTP2_ENHANCE_YOUR_CALM) s.limits_.ping *= 2;
                if (!std::exchange(s.peerLeft_, true)) s.peerLeaves(s.now_);
                return 0;
            case NGHTTP2_WINDOW_UPDATE:
                return 0;
            default:
                return s.bear(s.now_) ? 0 : NGHTTP2_ERR_CALLBACK_FAILURE;
        }
    }

    static int dataChunk(nghttp2_session* session, std::uint8_t, StreamId id, const std::uint8_t* bytes,
                         std::size_t size, void* user) {
        Session& s = of(user);
        nghttp2_session_consume_connection(session, size);
        s.bearable_ = std::min(s.limits_.idleFrames, s.bearable_ + 1);
        Stream* const stream = s.find(id);
        const auto exchange = stream ? stream->exchange : nullptr;
        if (exchange)
            exchange->received(s.now_, {reinterpret_cast<const char*>(bytes), size});
        else
            nghttp2_session_consume_stream(session, id, size);
        return 0;
    }

    static int streamClosed(nghttp2_session*, StreamId id, std::uint32_t code, void* user) {
        Session& s = of(user);
        Stream* const stream = s.find(id);
        if (!stream) return 0;
        Ending ending;
        ending.code = static_cast<Code>(code);
        ending.byPeer = stream->peerReset;
        ending.goneAway = !stream->peerReset && s.peerLeft_ && s.side_ == Side::client && id > s.peersLast_;
        ending.unseen = ending.goneAway || (stream->peerReset && ending.code == Code::refusedStream);
        s.drop(s.now_, id, ending);
        return 0;
    }

    static int beforeSend(nghttp2_session*, const nghttp2_frame* frame, void* user) {
        Session& s = of(user);
        if (frame->hd.type != NGHTTP2_HEADERS) return 0;
        if (Stream* const stream = s.find(frame->hd.stream_id); stream && !stream->headAt)
            stream->headAt = s.put_;
        return 0;
    }

    static int frameSent(nghttp2_session* session, const nghttp2_frame* frame, void* user) {
        Session& s = of(user);
        const StreamId id = frame->hd.stream_id;
        if (frame->hd.type != NGHTTP2_HEADERS && frame->hd.type != NGHTTP2_DATA) return 0;
        s.bearable_ = std::min(s.limits_.idleFrames, s.bearable_ + 1);
        Stream* const stream = s.find(id);
        if (!stream) return 0;
        stream->movedAt = s.now_;
        if (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) {
            stream->endSent = true;
            // An answer may be whole before its request is: the peer is told to stop sending it.
            if (s.side_ == Side::server && !stream->peerEnded)
                nghttp2_submit_rst_stream(session, NGHTTP2_FLAG_NONE, id, NGHTTP2_NO_ERROR);
        }
        if (frame->hd.type == NGHTTP2_HEADERS)
            if (const auto exchange = stream->exchange) exchange->written(s.now_);
        return 0;
    }

    static int notSent(nghttp2_session*, const nghttp2_frame* frame, int, void* user) {
        Session& s = of(user);
        if (frame->hd.type != NGHTTP2_HEADERS || s.side_ != Side::client) return 0;
        Ending ending;
        ending.code = Code::refusedStream, ending.unseen = ending.goneAway = true;
        s.drop(s.now_, frame->hd.stream_id, ending);
        return 0;
    }

    static ssize_t read(nghttp2_session* session, StreamId id, std::uint8_t* into, std::size_t size,
                        std::uint32_t* flags, nghttp2_data_source*, void* user) {
        Session& s = of(user);
        Stream* const stream = s.find(id);
        const auto exchange = stream ? stream->exchange : nullptr;
        if (!exchange) return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
        bool last = false;
        const std::size_t n = exchange->pull(s.now_, {reinterpret_cast<char*>(into), size}, last);
        if (n == 0 && !last) return NGHTTP2_ERR_DEFERRED;
        if (last) {
            *flags |= NGHTTP2_DATA_FLAG_EOF;
            if (const Fields trailers = exchange->trailers(); !trailers.empty()) {
                *flags |= NGHTTP2_DATA_FLAG_NO_END_STREAM;
                const auto pairs = pairsOf(trailers);
                nghttp2_submit_trailer(session, id, pairs.data(), pairs.size());
            }
        }
        return static_cast<ssize_t>(n);
    }

    static nghttp2_session_callbacks* table() {
        static nghttp2_session_callbacks* const made = [] {
            nghttp2_session_callbacks* c = nullptr;
            nghttp2_session_callbacks_new(&c);
            nghttp2_session_callbacks_set_unpack_extension_callback(c, unpack);
            nghttp2_session_callbacks_set_on_begin_headers_callback(c, beginHeaders);
            nghttp2_session_callbacks_set_on_header_callback(c, header);
            nghttp2_session_callbacks_set_on_frame_recv_callback(c, frameReceived);
            nghttp2_session_callbacks_set_on_data_chunk_recv_callback(c, dataChunk);
            nghttp2_session_callbacks_set_on_stream_close_callback(c, streamClosed);
            nghttp2_session_callbacks_set_before_frame_send_callback(c, beforeSend);
            nghttp2_session_callbacks_set_on_frame_send_callback(c, frameSent);
            nghttp2_session_callbacks_set_on_frame_not_send_callback(c, notSent);
            return c;
        }();
        return made;
    }

    static nghttp2_option* options() {
        static nghttp2_option* const made = [] {
            nghttp2_option* o = nullptr;
            nghttp2_option_new(&o);
            nghttp2_option_set_no_auto_window_update(o, 1);
            nghttp2_option_set_no_closed_streams(o, 1);
            nghttp2_option_set_max_outbound_ack(o, 200);
            nghttp2_option_set_max_settings(o, 32);
            for (int type = NGHTTP2_CONTINUATION + 1; type < 256; ++type)
                nghttp2_option_set_user_recv_extension_type(o, static_cast<std::uint8_t>(type));
            return o;
        }();
        return made;
    }
};

Session::Session(Side side, const Limits& limits, Deadlines& deadlines, Counters& counters, Time now)
    : side_(side),
      deadlines_(deadlines),
      limits_(limits),
      counters_(counters),
      born_(now),
      heard_(now),
      idleSince_(now),
      bearable_(limits.idleFrames),
      boreAt_(now) {
    ++counters_.connections;
    const auto make = side == Side::server ? nghttp2_session_server_new2 : nghttp2_session_client_new2;
    if (make(&session_, Callbacks::table(), this, Callbacks::options()) != 0) throw std::bad_alloc();
    const nghttp2_settings_entry server[] = {
        {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, static_cast<std::uint32_t>(limits.streams)},
        {NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE, static_cast<std::uint32_t>(limits.headBytes)}};
    const nghttp2_settings_entry client[] = {
        {NGHTTP2_SETTINGS_ENABLE_PUSH, 0},
        {NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE, static_cast<std::uint32_t>(limits.headBytes)}};
    nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, side == Side::server ? server : client, 2);
    nghttp2_session_set_local_window_size(session_, NGHTTP2_FLAG_NONE, 0, kConnectionWindow);
    if (side == Side::server) connected_ = true;
    watch(now + limits_.begin);
    if (side == Side::server) pump(now);
}

Session::~Session() {
    nghttp2_session_del(session_);
}

Session::Stream* Session::find(StreamId id) {
    const auto at = streams_.find(id);
    return at == streams_.end() ? nullptr : &at->second;
}

std::size_t Session::peersLimit() const {
    const std::uint32_t told =
        nghttp2_session_get_remote_settings(session_, NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS);
    return begun_ ? told : std::min<std::uint32_t>(told, 100);
}

void Session::headComplete(StreamId id, bool last) {
    Stream* const stream = find(id);
    if (!stream) return;
    Fields fields = std::exchange(stream->fields, {});
    if (stream->tooLong) {
        ++counters_.headsTooLong;
        return reset(now_, id, Code::enhanceYourCalm);
    }
    stream->headBytes = 0;
    const std::string* const status = http2::find(fields, ":status");
    if (!stream->headed && side_ == Side::client && !last && status && (*status)[0] == '1') return;
    const bool first = !std::exchange(stream->headed, true);
    if (first && side_ == Side::server) {
        auto exchange = usable() || !leaving_ ? begun(now_, id) : nullptr;
        if (!exchange) {
            ++counters_.refusedStreams;
            return reset(now_, id, Code::refusedStream);
        }
        if (Stream* const still = find(id)) still->exchange = std::move(exchange);
    }
    // Each call may reset the stream: it is looked up anew.
    if (first) {
        if (Stream* const still = find(id))
            if (const auto exchange = still->exchange) exchange->headed(now_, std::move(fields));
        fields.clear();
    }
    if (!last) return;
    if (Stream* const still = find(id); still && !std::exchange(still->peerEnded, true))
        if (const auto exchange = still->exchange) exchange->receivedAll(now_, std::move(fields));
}

std::optional<StreamId> Session::open(Time now, const Fields& head, std::shared_ptr<Exchange> exchange) {
    if (!usable()) return std::nullopt;
    now_ = now;
    nghttp2_data_provider provider{};
    provider.read_callback = Callbacks::read;
    const auto pairs = pairsOf(head);
    const StreamId id =
        nghttp2_submit_request(session_, nullptr, pairs.data(), pairs.size(), &provider, nullptr);
    if (id < 0) return std::nullopt;
    ++counters_.streams;
    streams_[id].exchange = std::move(exchange);
    if (limits_.ping.count() > 0) watch(now + limits_.ping);
    pump(now);
    return id;
}

void Session::answer(Time now, StreamId id, const Fields& head, bool last) {
    Stream* const stream = find(id);
    if (!stream || over_) return;
    nghttp2_data_provider provider{};
    provider.read_callback = Callbacks::read;
    const auto pairs = pairsOf(head);
    nghttp2_submit_response(session_, id, pairs.data(), pairs.size(), last ? nullptr : &provider);
    pump(now);
}

void Session::resume(Time now, StreamId id) {
    if (over_ || !find(id)) return;
    nghttp2_session_resume_data(session_, id);  // fails where nothing is deferred: then it is asked anyway
    pump(now);
}

void Session::cutShort(Time now, StreamId id, const Fields& trailers) {
    if (over_ || !find(id)) return;
    const auto pairs = pairsOf(trailers);
    nghttp2_submit_trailer(session_, id, pairs.data(), pairs.size());
    pump(now);
}

void Session::complete(Time now, StreamId id, Time until) {
    Stream* const stream = find(id);
    if (!stream || std::exchange(stream->complete, true)) return;
    stream->movedAt = now, stream->until = until, ++complete_;
    watch(std::min(now + limits_.take, until));
}

void Session::consumed(Time now, StreamId id, std::size_t bytes) {
    if (over_ || bytes == 0 || !find(id)) return;
    nghttp2_session_consume_stream(session_, id, bytes);
    pump(now);
}

void Session::reset(Time now, StreamId id, Code code) {
    if (over_) return;
    nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, id, static_cast<std::uint32_t>(code));
    pump(now);
}

void Session::forget(StreamId id) {
    if (Stream* const stream = find(id)) stream->exchange = nullptr;
}

void Session::sayGoodbye(Time now) {
    if (over_ || leaving_ || side_ == Side::client) return;
    nghttp2_submit_shutdown_notice(session_);
    pump(now);
}

void Session::leave(Time now, std::optional<StreamId> last) {
    if (over_ || std::exchange(leaving_, true)) return;
    nghttp2_submit_goaway(session_, NGHTTP2_FLAG_NONE,
                          last.value_or(nghttp2_session_get_last_proc_stream_id(session_)), NGHTTP2_NO_ERROR,
                          nullptr, 0);
    pump(now);
}

// Hands frames to the driver. nghttp2 must not be entered from its own callbacks: what they ask for follows.
void Session::pump(Time now) {
    if (busy_ || over_ || !connected_) {
        again_ = true;
        return;
    }
    const auto self = weak_from_this().lock();  // none while it is being made
    busy_ = true, now_ = now;
    do {
        again_ = false;
        while (!over_ && out().size() < kAhead) {
            const std::uint8_t* bytes = nullptr;
            const ssize_t n = nghttp2_session_mem_send(session_, &bytes);
            if (n <= 0) break;
            put_ += static_cast<std::size_t>(n);
            out().put({reinterpret_cast<const char*>(bytes), static_cast<std::size_t>(n)});
        }
    } while (again_ && !over_ && out().size() < kAhead);
    busy_ = false;
    if (over_) return;
    if (!finishing_ && !nghttp2_session_want_read(session_) && !nghttp2_session_want_write(session_)) {
        if (!streams_.empty()) return lastWords(now, End::malformed);  // the peer broke the protocol
        finishing_ = true;
    }
    if (finishing_ || !out().empty()) wake();
}

// What is to be said is in the outbox; then the connection closes. Its streams end here.
void Session::lastWords(Time now, End how) {
    if (over_) return;
    const auto self = shared_from_this();
    finishing_ = over_ = true;
    watchdog_.disarm();
    ++counters_.ends[static_cast<std::size_t>(how)];
    dropAll(now);
    gone(now, how);
    wake();
}

void Session::opened(Time now) {
    connected_ = true, born_ = heard_ = idleSince_ = now;
    watch(now + limits_.begin);
    pump(now);
}

void Session::received(Time now) {
    const auto self = shared_from_this();
    now_ = heard_ = now;
    while (!in().empty() && !over_ && !finishing_) {
        const auto bytes = in().front();
        busy_ = true;
        const ssize_t n = nghttp2_session_mem_recv(
            session_, reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
        busy_ = false;
        if (over_ || finishing_) break;
        if (n < 0) {
            const bool flood = n == NGHTTP2_ERR_FLOODED || n == NGHTTP2_ERR_CALLBACK_FAILURE ||
                               n == NGHTTP2_ERR_TOO_MANY_CONTINUATIONS || n == NGHTTP2_ERR_TOO_MANY_SETTINGS;
            if (flood) ++counters_.floods;
            return calm(now, End::malformed, flood ? Code::enhanceYourCalm : Code::protocolError);
        }
        in().taken(static_cast<std::size_t>(n));
    }
    if (over_) return;
    if (finishing_) return in().taken(in().size());
    pump(now);
}

void Session::sent(Time now) {
    if (!over_ && !finishing_ && out().size() < kAhead) pump(now);
}

void Session::ended(Time now, End how) {
    over(now, how);
}

void Session::close(Time now, End how) {
    over(now, how);
}

// One more frame that carries nothing. False once a peer sends more of them than it may.
bool Session::bear(Time now) {
    const double since = std::chrono::duration<double>(now - boreAt_).count();
    bearable_ = std::min(limits_.idleFrames, bearable_ + since * limits_.idleFramesASecond) - 1;
    boreAt_ = now;
    return bearable_ >= 0;
}

// Ends a connection whose peer does what it may not: it is told by GOAWAY, and its streams end.
void Session::calm(Time now, End how, Code code) {
    const auto self = shared_from_this();
    nghttp2_session_terminate_session(session_, static_cast<std::uint32_t>(code));
    leaving_ = true;
    pump(now);
    if (over_) return;
    if (out().empty() && !begun_) return over(now, how);
    lastWords(now, how);
}

void Session::over(Time now, End how) {
    if (std::exchange(over_, true)) return;
    const auto self = shared_from_this();
    watchdog_.disarm();
    ++counters_.ends[static_cast<std::size_t>(how)];
    wire::Machine::drop();
    dropAll(now);
    gone(now, how);
}

void Session::dropAll(Time now) {
    while (!streams_.empty()) {
        const auto at = streams_.begin();
        Ending ending;
        ending.connection = true;
        ending.unseen = side_ == Side::client && !onWire(at->second);
        drop(now, at->first, ending);
    }
}

void Session::drop(Time now, StreamId id, Ending ending) {
    const auto at = streams_.find(id);
    if (at == streams_.end()) return;
    const auto exchange = std::move(at->second.exchange);
    complete_ -= at->second.complete;
    streams_.erase(at);
    if (streams_.empty()) idleSince_ = now, watch(now + limits_.idle);
    if (exchange) exchange->closed(now, ending);
    if (!over_) settled(now);
}

void Session::watch(Time at) {
    if (watchdog_.armed() && watchAt_ <= at) return;
    watchAt_ = at;
    watchdog_.arm(deadlines_, at, [this](Time now) {
        const auto self = shared_from_this();
        look(now);
    });
}

// What is overdue ends; the watchdog is armed for what will be next.
void Session::look(Time now) {
    if (over_ || finishing_) return;
    now_ = now;
    if (connected_ && !begun_) {
        if (now >= born_ + limits_.begin) return calm(now, End::silent, Code::settingsTimeout);
        watch(born_ + limits_.begin);
    }
    if (headOpen_) {
        if (now >= headSince_ + limits_.begin) return calm(now, End::silent, Code::enhanceYourCalm);
        watch(headSince_ + limits_.begin);
    }
    if (!connected_) return;
    if (streams_.empty()) {
        if (now >= idleSince_ + limits_.idle) return leave(now);
        return watch(idleSince_ + limits_.idle);
    }
    if (complete_ > 0) {
        std::vector<StreamId> stuck;
        for (const auto& [id, stream] : streams_) {
            if (!stream.complete) continue;
            const Time due = std::min(stream.movedAt + limits_.take, stream.until);
            if (now >= due)
                stuck.push_back(id);
            else
                watch(due);
        }
        std::sort(stuck.begin(), stuck.end());  // the same order in every build
        for (const StreamId id : stuck) {
            Stream* const stream = find(id);
            if (!stream) continue;
            ++counters_.notTaken;
            stream->movedAt = now, stream->until = Time::max();
            const Fields last = stream->exchange ? stream->exchange->notTaken() : Fields{};
            last.empty() ? reset(now, id, Code::cancel) : cutShort(now, id, last);
        }
        if (over_) return;
    }
    if (limits_.ping.count() == 0) return;
    if (pinged_) {
        if (now >= pingedAt_ + limits_.pong) {
            ++counters_.blackHoles;
            return over(now, End::silent);
        }
        return watch(pingedAt_ + limits_.pong);
    }
    if (now < heard_ + limits_.ping) return watch(heard_ + limits_.ping);
    pinged_ = true, pingedAt_ = now, ++counters_.pings;
    nghttp2_submit_ping(session_, NGHTTP2_FLAG_NONE, nullptr);
    pump(now);
    watch(now + limits_.pong);
}

}  // namespace amberswitch::http2
