#include <algorithm>

#include "http2/callbacks.hpp"

namespace amberswitch::http2 {

namespace {

// Bytes that are handed to the driver at a time: about one frame, so that a stream which becomes ready soon
// needn't wait behind what others have queued.
constexpr std::size_t kAhead = wire::Ring::kSize;
constexpr std::int32_t kConnectionWindow = 1 << 20;

}  // namespace

const std::string* find(const Fields& fields, std::string_view name) {
    for (const auto& [field, value] : fields)
        if (field == name) return &value;
    return nullptr;
}

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
        auto exchange = leaving_ ? nullptr : begun(now_, id);
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
