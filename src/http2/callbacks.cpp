#include "http2/callbacks.hpp"

#include <algorithm>

namespace amberswitch::http2 {

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

struct Session::Callbacks::Calls {
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
};

ssize_t Session::Callbacks::read(nghttp2_session* session, StreamId id, std::uint8_t* into, std::size_t size,
                                 std::uint32_t* flags, nghttp2_data_source*, void* user) {
    Session& s = Calls::of(user);
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

nghttp2_session_callbacks* Session::Callbacks::table() {
    static nghttp2_session_callbacks* const made = [] {
        nghttp2_session_callbacks* c = nullptr;
        nghttp2_session_callbacks_new(&c);
        nghttp2_session_callbacks_set_unpack_extension_callback(c, Calls::unpack);
        nghttp2_session_callbacks_set_on_begin_headers_callback(c, Calls::beginHeaders);
        nghttp2_session_callbacks_set_on_header_callback(c, Calls::header);
        nghttp2_session_callbacks_set_on_frame_recv_callback(c, Calls::frameReceived);
        nghttp2_session_callbacks_set_on_data_chunk_recv_callback(c, Calls::dataChunk);
        nghttp2_session_callbacks_set_on_stream_close_callback(c, Calls::streamClosed);
        nghttp2_session_callbacks_set_before_frame_send_callback(c, Calls::beforeSend);
        nghttp2_session_callbacks_set_on_frame_send_callback(c, Calls::frameSent);
        nghttp2_session_callbacks_set_on_frame_not_send_callback(c, Calls::notSent);
        return c;
    }();
    return made;
}

nghttp2_option* Session::Callbacks::options() {
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

}  // namespace amberswitch::http2
