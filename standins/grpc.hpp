// Stand-ins for what the dispatcher meets over gRPC: a job server that plays a part for each call, and a
// client. They keep ledgers by their own books, so that what the dispatcher says of itself can be held
// against them.
#pragma once

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "http2/session.hpp"
#include "net/loop.hpp"

namespace amberswitch::standins {

using http2::Fields;

std::string message(std::string_view payload);  // length-prefixed, uncompressed
// The payloads of whole messages; what is left over stays in `bytes`.
std::vector<std::string> messages(std::string& bytes);

enum class Part {
    answer,            // one message for each of the request's, then the status
    stream,            // `count` messages of `bytes` bytes each, then the status
    stall,             // nothing, until play() gives it another part
    reset,             // RST_STREAM with `code`
    resetAfterHead,    // the head, then RST_STREAM
    trailersOnly,      // the status at once
    endsThenResets,    // an answer before the request's end, and RST_STREAM with `code` a moment later
    early,             // an answer before the request's end
    endsMidStream,     // head and a message, then the status
    breaksConnection,  // the connection ends without a word
    breaksAfterHead,
    goAway,       // GOAWAY that lets this call finish, then its answer
    goAwayBelow,  // GOAWAY that counts this call among those it did nothing with
    bare,         // an HTTP answer that is not gRPC
    garbage       // bytes that are not HTTP/2
};

struct Play {
    Part part = Part::answer;
    int status = 0;
    std::size_t count = 1, bytes = 16;
    http2::Code code = http2::Code::internalError;
    Fields head, trailers;  // beside what every answer has
    Nanos after{0};
};

class GrpcServer {
public:
    struct Execution {  // a call whose head arrived
        std::string path, key;
        Fields head;
        Time at{0};
        std::uint64_t bytes = 0, messages = 0;
        int part = 0;  // as played
        bool requestEnded = false, answered = false, cancelled = false, unrun = false;
    };
    using Script = std::function<Play(const Execution&, std::size_t number)>;

    GrpcServer(net::Loop& loop, Script script, http2::Limits limits = {}, unsigned short port = 0);
    ~GrpcServer();

    std::string address() const { return address_; }
    void play(Time now, std::size_t number, Play play);  // a call that stalls goes on like this
    void stopListening() { listener_->close(); }
    void goAway(Time now);  // on all connections, in two steps at once
    void cut(Time now);     // all connections break
    std::size_t connections() const { return connections_.size(); }
    std::size_t open() const;
    bool keepHeads = true;  // else the ledger is without them, for long loads
    std::vector<Execution> ledger;
    std::map<std::string, int> byKey;  // executions of each key
    Deadlines& deadlines() { return loop_.deadlines(); }

private:
    class Connection;
    class Call;
    net::Loop& loop_;
    Script script_;
    http2::Limits limits_;
    http2::Counters counters_;
    std::unique_ptr<net::Listener> listener_;
    std::string address_;
    std::list<std::shared_ptr<Connection>> connections_;
    std::map<std::size_t, std::weak_ptr<Call>> calls_;
};

class GrpcClient {
public:
    struct Outcome {
        int statuses = 0;  // how many were told
        int status = -1;   // the last of them; -1: none
        Fields head, trailers;
        bool trailersOnly = false, closed = false;
        http2::Code resetBy = http2::Code::noError;
        std::string bytes;           // of the answer, not parsed yet
        std::uint64_t received = 0;  // bytes of it
        std::uint64_t sent = 0;      // of the request
        Time at{0};
        long pushback() const;  // -2: none was given
    };
    struct Ask {
        std::string path = "/taxi.Dispatch/Match";
        Fields metadata;
        std::vector<std::string> payloads = {"job"};
        bool ends = true;   // the request ends after these
        bool reads = true;  // takes the answer as it comes
    };

    GrpcClient(net::Loop& loop, const net::tcp::endpoint& to, http2::Limits limits = {});
    ~GrpcClient();

    std::size_t call(Time now, const Ask& ask);
    void send(Time now, std::size_t number, std::string_view payload);
    void end(Time now, std::size_t number);
    void cancel(Time now, std::size_t number);
    void readOn(Time now, std::size_t number);  // one that did not read takes all from now on
    void hangUp(Time now);
    bool connected() const;
    bool toldToLeave() const;  // GOAWAY came
    std::size_t unanswered() const;
    std::vector<Outcome> outcomes;

private:
    class Connection;
    class Call;
    net::Loop& loop_;
    http2::Counters counters_;
    std::shared_ptr<Connection> connection_;
    std::vector<std::shared_ptr<Call>> calls_;
};

// A peer that says what it is told to, byte for byte.
class RawPeer : public wire::Machine {
public:
    void say(std::string_view bytes) { out().put(bytes), wake(); }
    void hangUp() { drop(); }
    void received(Time) override {
        while (!in().empty()) {
            const auto bytes = in().front();
            if (keeps_) heard.append(bytes.data(), bytes.size());
            in().taken(bytes.size());
        }
    }
    void opened(Time) override { wake(); }
    void ended(Time now, End) override { closed = true, closedAt = now; }
    bool finished() const override { return false; }
    std::string heard;
    bool closed = false;
    Time closedAt{0};
    // Whether a frame of this type came; frames are nine bytes of head and what it says.
    bool heardFrame(unsigned char type) const;
    bool keeps_ = true;
};

std::string frame(unsigned char type, unsigned char flags, std::uint32_t stream, std::string_view payload);
constexpr std::string_view kPreface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

}  // namespace amberswitch::standins
