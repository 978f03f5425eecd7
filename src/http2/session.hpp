// One HTTP/2 connection (RFC 9113, cleartext with prior knowledge), either side of it, as a state machine fed
// bytes. nghttp2 does the framing; what is here bounds a peer, paces what goes out, and says how streams end.
//
// Bodies are pulled: a stream's user is asked for bytes when the peer's windows have room for them, so
// nothing waits in here twice. What came in is the user's until it calls consumed(): only then may the peer
// send more on that stream. The connection's own window never waits for a stream, so a slow one holds up no
// other.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "wire/machine.hpp"

struct nghttp2_session;

namespace amberswitch::http2 {

using Field = std::pair<std::string, std::string>;  // the name in lower case
using Fields = std::vector<Field>;                  // in the order of the wire, repeats included
using StreamId = std::int32_t;

const std::string* find(const Fields& fields, std::string_view name);

enum class Code : std::uint32_t {  // RFC 9113, section 7
    noError,
    protocolError,
    internalError,
    flowControl,
    settingsTimeout,
    streamClosed,
    frameSize,
    refusedStream,
    cancel,
    compression,
    connect,
    enhanceYourCalm,
    inadequateSecurity,
    http11Required
};

struct Ending {  // how a stream ended
    Code code = Code::noError;
    bool byPeer = false;      // the peer reset it
    bool connection = false;  // with its connection
    bool unseen = false;      // the peer says that it did nothing with it, or it was never written
    bool goneAway = false;    // unseen, and because the peer ends the connection
};

// Who uses one stream. The calls come from within the session: it may be called back from them.
class Exchange {
public:
    virtual ~Exchange() = default;
    virtual void headed(Time now,
                        Fields fields) = 0;  // the first head: a request's, or an answer's final one
    virtual void received(Time now, std::string_view bytes) = 0;
    virtual void receivedAll(Time now, Fields trailers) = 0;  // the peer's side has ended
    // Takes as much of the body as is there into `into`. Sets `last` once no more will follow.
    virtual std::size_t pull(Time now, std::span<char> into, bool& last) = 0;
    virtual Fields trailers() { return {}; }  // asked for with the last of the body
    virtual void written(Time) {}             // the head has gone out
    // The peer takes nothing of an answer that is complete. With these its stream ends; none: it is reset.
    virtual Fields notTaken() { return {}; }
    virtual void closed(Time now, const Ending& ending) = 0;  // the last call
};

struct Limits {
    std::size_t streams = 100;          // that a peer may have open at once
    std::size_t headBytes = 16 * 1024;  // of one header list, with 32 bytes a field as RFC 9113 counts
    Nanos begin = std::chrono::milliseconds(2500);  // to complete the preface, or a header block
    Nanos take = std::chrono::milliseconds(2500);   // to take something of an answer that is complete
    Nanos idle = std::chrono::seconds(75);          // without a stream
    Nanos ping = std::chrono::seconds(10);  // of silence before the other side is asked for a sign; 0: never
    Nanos pong = std::chrono::seconds(2);   // to give it
    double idleFrames = 100, idleFramesASecond = 50;  // frames that carry nothing: at once, and a second
};

struct Counters {
    std::uint64_t connections = 0, streams = 0, refusedStreams = 0, headsTooLong = 0, floods = 0,
                  notTaken = 0, pings = 0, blackHoles = 0, goAways = 0;
    std::uint64_t ends[kEnds] = {};
};

class Session : public wire::Machine, public std::enable_shared_from_this<Session> {
public:
    enum class Side { server, client };
    Session(Side side, const Limits& limits, Deadlines& deadlines, Counters& counters, Time now);
    ~Session() override;

    // A new stream of a client. None if the connection takes no more.
    std::optional<StreamId> open(Time now, const Fields& head, std::shared_ptr<Exchange> exchange);
    void answer(Time now, StreamId id, const Fields& head, bool last);  // last: head and trailers in one
    void resume(Time now, StreamId id);                                 // pull() has something again
    void consumed(Time now, StreamId id, std::size_t bytes);
    // Ends this side at once with these trailers, whatever the windows are; what was not pulled is left out.
    void cutShort(Time now, StreamId id, const Fields& trailers);
    // Its user has all of its side: the peer is to take it in time, and by `until` where it waits no longer.
    void complete(Time now, StreamId id, Time until = Time::max());
    void reset(Time now, StreamId id, Code code);
    void forget(StreamId id);  // its user hears no more of it

    void sayGoodbye(Time now);  // first step of the planned end: open elsewhere, please
    // Second step: what the peer began after `last` (if not given: after this) is not looked at; it closes
    // when the rest is done.
    void leave(Time now, std::optional<StreamId> last = {});
    void close(Time now, End how);

    bool usable() const { return !leaving_ && !over_ && !peerLeft_; }
    bool connected() const { return connected_; }
    std::size_t streams() const { return streams_.size(); }
    std::size_t peersLimit() const;  // streams that the peer lets be open at once
    Time heard() const { return heard_; }
    Time idleSince() const { return idleSince_; }
    bool quiet() { return out().empty(); }

    void opened(Time now) override;
    void received(Time now) override;
    void sent(Time now) override;
    void ended(Time now, End how) override;
    bool finished() const override { return finishing_; }

protected:
    // A server's: who is to serve a new stream. None: it is refused.
    virtual std::shared_ptr<Exchange> begun(Time, StreamId) { return nullptr; }
    virtual void peerLeaves(Time) {}  // GOAWAY came
    virtual void gone(Time, End) {}   // the last call
    virtual void settled(Time) {}     // the peer's settings are known, or a stream's place is free again

    const Side side_;
    Deadlines& deadlines_;

private:
    struct Callbacks;
    friend struct Callbacks;
    struct Stream {
        std::shared_ptr<Exchange> exchange;
        Fields fields;
        std::size_t headBytes = 0;
        bool headed = false, peerEnded = false, peerReset = false, tooLong = false, ownEnded = false,
             complete = false, endSent = false;
        std::optional<std::uint64_t> headAt;  // bytes that went before its own head
        Time movedAt{0}, until{0};  // of an answer that is complete: last taken of, and waited for no longer
    };

    void begin(Time now);
    void pump(Time now);
    bool bear(Time now);  // one more frame that carries nothing
    void calm(Time now, End how, Code code);
    void lastWords(Time now, End how);
    void over(Time now, End how);
    void watch(Time at);
    void look(Time now);
    void drop(Time now, StreamId id, Ending ending);
    void dropAll(Time now);
    // Whether the peer may have got the first byte of a stream's head.
    bool onWire(const Stream& stream) {
        return stream.headAt && put_ - out().size() + out().lent() > *stream.headAt;
    }
    Stream* find(StreamId id);
    void headComplete(StreamId id, bool last);

    Limits limits_;
    Counters& counters_;
    nghttp2_session* session_ = nullptr;
    std::unordered_map<StreamId, Stream> streams_;
    Time now_{0}, born_, heard_, idleSince_, headSince_{0}, pingedAt_{0};
    double bearable_;
    Time boreAt_;
    bool connected_ = false, busy_ = false, again_ = false, leaving_ = false, peerLeft_ = false,
         over_ = false, finishing_ = false, begun_ = false, headOpen_ = false, pinged_ = false;
    std::uint64_t put_ = 0;  // bytes handed to the outbox
    StreamId peersLast_ = 0;
    std::size_t complete_ = 0;  // streams whose own side is complete
    Time watchAt_{0};
    Deadlines::Timer watchdog_;
};

}  // namespace amberswitch::http2
