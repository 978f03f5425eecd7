// One gRPC call: what the client sent, what it is to get, and the one status that ends it. It stands between
// the client's stream and the passes that carry it; neither knows the other.
//
// A request flows on as it comes. It is held from its start for as long as a further pass may be wanted:
// until more than `holdBytes` of it have gone to a pass, or the client has part of an answer.
#pragma once

#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "core/core.hpp"
#include "grpc/status.hpp"
#include "http2/session.hpp"

namespace amberswitch::grpc {

// What a call tells of how many there are and how they ended; the front has one.
struct CallCounters {
    std::uint64_t calls = 0, open = 0, committed = 0, sealed = 0, cancelled = 0, orphaned = 0;
    std::uint64_t statuses[kStatuses] = {};
    std::size_t held = 0, mostHeld = 0;  // bytes, of requests and answers
};

class Call : public http2::Exchange,
             public ClientEnd,
             public Attachment,
             public std::enable_shared_from_this<Call> {
public:
    // A pass that carries this call.
    class Carrier {
    public:
        virtual ~Carrier() = default;
        virtual void more(Time now) = 0;                      // read() has something again
        virtual void taken(Time now, std::size_t bytes) = 0;  // the client took this much of the answer
    };
    struct Own {  // how a pass ended, in words for the client: mostly the job server's own
        Status status = Status::ok;
        http2::Fields fields;  // the trailers, or a trailers-only head without its pseudo-header
    };

    Call(Core& core, CallCounters& counters, std::weak_ptr<http2::Session> session, http2::StreamId stream,
         std::size_t hold);
    ~Call() override;

    // What the front found in the head. `arrival` is ready but for its client and attachment.
    void begin(Time now, Arrival arrival, http2::Fields metadata);
    void refuse(Time now, Status status, std::string_view why, std::optional<long> pushback = {});

    // For a pass
    const http2::Fields& metadata() const { return metadata_; }
    void join(Carrier& carrier);
    void part(Time now, Carrier& carrier);
    std::size_t read(Time now, Carrier& carrier, std::span<char> into, bool& last);
    bool readAll(const Carrier& carrier) const;
    void head(Time now, Carrier& carrier, std::uint32_t pass, http2::Fields fields);  // commits
    bool deliver(Time now, Carrier& carrier, std::string_view bytes);  // false: nobody wants them
    void answeredBy(std::uint32_t pass, Own own) { own_ = std::move(own), ownPass_ = pass; }

    // The client's stream
    void headed(Time, http2::Fields) override {}
    void received(Time now, std::string_view bytes) override;
    void receivedAll(Time now, http2::Fields trailers) override;
    std::size_t pull(Time now, std::span<char> into, bool& last) override;
    http2::Fields trailers() override { return std::move(final_); }
    http2::Fields notTaken() override;
    void closed(Time now, const http2::Ending& ending) override;

    // The core's end of it
    void served(Time now, std::string result) override;
    void unavailable(Time now, Nanos retryIn) override;
    void failed(Time now, std::string_view why) override;
    bool hasLeft() override;

private:
    struct Reader {
        Carrier* carrier = nullptr;
        std::uint64_t at = 0;  // of the request's bytes
    };
    enum class State { fresh, open, answered, gone };

    Reader* readerOf(const Carrier& carrier);
    void cutShort();
    void weigh();         // what is held has changed
    void open(Time now);  // lets the client send as much as was taken
    void finish(Time now, Status status, http2::Fields fields);
    bool late(Time now) const;
    bool repeatHarms() const;

    Core& core_;
    CallCounters& counters_;
    std::weak_ptr<http2::Session> session_;
    http2::StreamId stream_;
    std::size_t hold_;
    State state_ = State::fresh;
    TransactionId transaction_ = 0;
    std::size_t klass_ = 0;
    Time deadline_{0};
    http2::Fields metadata_;
    // The request: bytes from base_ on
    std::string request_;
    std::uint64_t base_ = 0, opened_ = 0;
    bool requestEnded_ = false, sealed_ = false;
    std::vector<Reader> readers_;
    // The answer
    Carrier* answering_ = nullptr;
    std::string response_;
    std::size_t responseAt_ = 0, weighed_ = 0;
    bool headSent_ = false, finished_ = false, cut_ = false;
    http2::Fields final_;
    std::optional<Own> own_;
    std::uint32_t ownPass_ = 0;
};

}  // namespace amberswitch::grpc
