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

    Connection(Front& owner, std::uint64_t count) : number(count), owner_(owner) {}

    const std::uint64_t number;
    std::string id = "-";
    bool exceptions = false;
    std::list<std::shared_ptr<Connection>>::iterator place;

    void say(Type type, std::initializer_list<std::string_view> arguments) {
        if (state_ != State::open) return;
        out().put(encode(false, type, arguments));
        wake();
    }

    // As a client
    void answered(const Submission* submission) {
        std::erase_if(mine_, [&](const auto& one) { return one.get() == submission; });
    }

    // As a worker
    bool worker() const { return slot_.has_value(); }
    const std::set<std::size_t>& functions() const { return functions_; }
    void offer(Time now, const ProxyPass& pass, int priority);
    void abandon(const ProxyPass& pass);
    bool offers(const ProxyPass& pass) const;

    void received(Time now) override;
    void ended(Time now, End how) override { over(now, how); }
    bool finished() const override { return state_ == State::closing; }

private:
    struct Offered {  // a pass that waits until the worker grabs it
        ProxyPass pass;
        int priority = normal;
    };
    struct Assigned {
        TransactionId transaction = 0;
        std::uint32_t pass = 0;
        bool abandoned = false;  // it runs on, but nobody waits for it
    };
    static constexpr Nanos kHalf = std::chrono::seconds(10);
    static constexpr std::size_t kMostUnread = 256 * 1024;
    // Packets that ask for what isn't there: so many at once, so many a second; then the peer is read later.
    static constexpr double kRefusedAtOnce = 16, kRefusedASecond = 10;
    enum class Grab { plain, unique, all };

    void packet(Time now, const Packet& packet);
    void line(Time now, const std::string& text);
    void submit(Time now, const Packet& packet, bool background, int priority);
    void abilities(Time now);
    void takeBack(Time now, bool all);
    void grab(Time now, Grab how);
    void refuse(Time now, std::string_view code, std::string_view text);
    void report(Time now, const Packet& packet);
    void status(Type type, std::string_view by, const Submission* submission);
    void error(std::string_view code, std::string_view text) { say(Type::error, {code, text}); }
    void giveUp(Time now, std::string_view why);
    void over(Time now, End how);
    std::string serverName() const { return "gearman/" + std::to_string(*slot_); }

    Front& owner_;
    State state_ = State::open;
    Decoder decoder_{true};
    Deadlines::Ticket half_, slowed_;
    double mayBeRefused_ = kRefusedAtOnce;
    Time refusedAt_{0};
    std::vector<std::shared_ptr<Submission>> mine_;  // foreground ones this client waits for
    // As a worker
    std::optional<std::size_t> slot_;  // its place among the workers; the farm knows it by this
    Worker server_ = 0;
    Time since_{0};
    std::set<std::size_t> functions_;
    std::map<std::size_t, Nanos> timeouts_;
    bool sleeping_ = false;
    std::deque<Offered> offered_;
    std::unordered_map<Handle, Assigned> assigned_;
};

}  // namespace amberswitch::gearman
