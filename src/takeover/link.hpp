// The protocol between the old and the new process of a dispatcher: length-prefixed protobuf frames. Like
// other machines it knows no socket. A protocol violation ends the link; invalid input can't harm this
// process.
#pragma once

#include <functional>
#include <string>
#include <unordered_map>

#include "wire/machine.hpp"

namespace amberswitch::takeover {

// Why a link could not be established, or why it ended.
enum class Fault { none, gone, silent, garbled, version, stranger };
const char* nameOf(Fault fault);

class Link : public wire::Machine, public std::enable_shared_from_this<Link> {
public:
    static constexpr std::uint32_t kVersion = 1;
    static constexpr std::size_t kMaxFrameBytes = 4 * 1024 * 1024;       // the size limit of a list
    static constexpr std::size_t kMaxUnsentBytes = 1024 * 1024;          // unsent output in bytes
    static constexpr std::size_t kMaxPendingCallbacks = 4096;            // callbacks without an answer yet
    static constexpr Nanos kHandshakeTimeout = std::chrono::seconds(1);  // timeout of the handshake
    static constexpr Nanos kAnswerTimeout = std::chrono::milliseconds(800);  // for the answer to a callback

    enum class CallbackResult { owned, unowned, unknown };  // unknown: no answer in time
    using Reply = std::function<void(Time, CallbackResult)>;

    // The callbacks of the link's owner, called from within the machine. `ended` is the last call.
    struct Events {
        std::function<void(Time)> met;  // the handshake is complete
        std::function<void(Time, std::string_view list, std::vector<std::string> ids)> roster;
        std::function<void(Time)> serving;
        // The peer forwards a callback; `reply` must be called once, at any time.
        std::function<void(Time, std::string body, std::uint32_t hops, Reply reply)> callback;
        std::function<void(Time, Fault)> ended;
    };

    Link(Deadlines& deadlines, Time now, std::string name, Events events);

    bool met() const { return handshakeDone_; }
    bool reached() const { return reached_; }                 // the connection was established
    std::size_t descriptors() const { return descriptors_; }  // held by the other process
    void sendRoster(std::string list, const std::vector<std::string>& ids);
    void sendServing();
    void sendUsage(std::size_t descriptors);
    void ask(Time now, const std::string& body, std::uint32_t hops, Reply reply);
    void close(Time now, Fault why = Fault::gone) { finish(now, why); }

    void opened(Time now) override;
    void received(Time now) override;
    void ended(Time now, End how) override;
    bool finished() const override { return false; }

private:
    struct PendingCallback {
        Reply reply;
        Deadlines::Timer due;
    };

    template <class Frame>
    void put(const Frame& frame);
    void take(Time now, std::string_view bytes);
    void finish(Time now, Fault why);

    Deadlines& deadlines_;
    const std::string name_;
    Events events_;
    Deadlines::Timer handshakeTimer_;
    std::string frame_;  // an incomplete frame
    std::unordered_map<std::uint64_t, PendingCallback> pending_;
    std::uint64_t lastNumber_ = 0;
    std::size_t descriptors_ = 0;
    bool handshakeDone_ = false, reached_ = false, over_ = false;
};

}  // namespace amberswitch::takeover
