// One connection to the front. Its functions lie in files by concern: connection.cpp (bytes in, packets to
// their handlers, the end), client_requests.cpp, worker_requests.cpp and admin_commands.cpp.
#pragma once

#include <deque>
#include <initializer_list>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "gearman/front.hpp"
#include "gearman/job.hpp"

namespace amberswitch::gearman {

// One connection, a client's, a worker's or both.
class Front::Connection : public wire::Machine, public std::enable_shared_from_this<Connection> {
public:
    enum class State { open, closing, ended };

    Connection(Front& front, std::uint64_t count) : number(count), front_(front) {}

    const std::uint64_t number;
    std::string id = "-";
    bool exceptions = false;
    std::list<std::shared_ptr<Connection>>::iterator place;

    void send(Type type, std::initializer_list<std::string_view> arguments) {
        if (state_ != State::open) return;
        out().put(encode(false, type, arguments));
        wake();
    }

    // As a client
    void jobFinished(const Job* job) {
        std::erase_if(foregroundJobs_, [&](const auto& waiting) { return waiting.get() == job; });
    }

    // As a worker
    bool worker() const { return slot_.has_value(); }
    const std::set<std::size_t>& functions() const { return functions_; }
    void enqueue(Time now, const ProxyPass& pass, int priority);
    void abandon(const ProxyPass& pass);
    bool hasQueued(const ProxyPass& pass) const;

    void received(Time now) override;
    void ended(Time now, End how) override { close(now, how); }
    bool finished() const override { return state_ == State::closing; }

private:
    struct QueuedPass {  // a pass that waits until the worker grabs it
        ProxyPass pass;
        int priority = normal;
    };
    struct AssignedPass {
        TransactionId transaction = 0;
        std::uint32_t pass = 0;
        bool abandoned = false;  // it runs on, but nobody waits for it
    };
    static constexpr Nanos kIncompletePacketTimeout = std::chrono::seconds(10);
    static constexpr std::size_t kMaxUnreadOutput = 256 * 1024;
    // Packets that ask for what isn't there: so many at once, so many a second; then the peer is read later.
    static constexpr double kRefusalBurst = 16, kRefusalsPerSecond = 10;
    enum class Grab { plain, unique, all };

    void handlePacket(Time now, const Packet& packet);
    void handleAdminCommand(Time now, const std::string& text);
    void submitJob(Time now, const Packet& packet, bool background, int priority);
    void updateFunctions(Time now);
    void returnPasses(Time now, bool disconnected);
    void grabJob(Time now, Grab variant);
    void refuse(Time now, std::string_view code, std::string_view text);
    void handleWorkReport(Time now, const Packet& packet);
    void sendStatus(Type type, std::string_view identifier, const Job* job);
    void sendError(std::string_view code, std::string_view text) { send(Type::error, {code, text}); }
    void failProtocol(Time now, std::string_view reason);
    void close(Time now, End how);
    std::string applicationServerName() const { return "gearman/" + std::to_string(*slot_); }

    Front& front_;
    State state_ = State::open;
    Decoder decoder_{true};
    Deadlines::Timer incompletePacketTimer_, throttleTimer_;
    double refusalTokens_ = kRefusalBurst;
    Time lastRefusal_{0};
    std::vector<std::shared_ptr<Job>> foregroundJobs_;  // those this client waits for
    // As a worker
    std::optional<std::size_t> slot_;  // its number among the workers; its name to the core is made of this
    Worker applicationServer_ = 0;
    Time startedAt_{0};
    std::set<std::size_t> functions_;
    std::map<std::size_t, Nanos> timeouts_;
    bool sleeping_ = false;
    std::deque<QueuedPass> queue_;
    std::unordered_map<Handle, AssignedPass> assigned_;
};

}  // namespace amberswitch::gearman
