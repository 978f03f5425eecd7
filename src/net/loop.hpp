// The only place with sockets. One thread, one strand; each turn handles what is ready, then sweeps the
// deadlines, and one timer is armed for the first of them.
#pragma once

// clang-format off
#include <utility>  // Boost 1.74's asio uses it without including it
#include <boost/asio.hpp>
// clang-format on
#include <boost/asio/coroutine.hpp>
#include <boost/asio/strand.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <unordered_set>
#include <vector>

#include "wire/machine.hpp"

namespace amberswitch::net {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using Socket = asio::generic::stream_protocol::socket;  // TCP, or a Unix socket between two of our own
using Strand = asio::strand<asio::io_context::executor_type>;

// The module's clock: Unix time when the process began, and the steady clock from there on.
class Clock {
public:
    Clock();
    Time now() const;

private:
    Time wall_, steady_;
};

class Link;

class Loop {
public:
    Loop();
    explicit Loop(std::function<Time()> clock);  // another clock than the system's: turns are then polled
    Time now() const { return clock_(); }
    Deadlines& deadlines() { return deadlines_; }
    asio::io_context& io() { return io_; }
    const Strand& strand() const { return strand_; }
    void onSignal(int number, std::function<void(Time)> action);
    void run();   // until stop
    void poll();  // one turn that waits for nothing
    void stop() { stopped_ = true; }
    std::span<char> scrap() { return scrap_; }  // for bytes that nobody looks at

    // A link lives here from its start to the turn after its close: its coroutines hold nothing while parked.
    void keep(const std::shared_ptr<Link>& link) { links_.insert(link); }
    void release(const std::shared_ptr<Link>& link);

private:
    void rearm();
    void handleReady();

    Deadlines deadlines_;  // first, so that it outlives all who hold tickets
    std::function<Time()> clock_;
    asio::io_context io_{1};
    Strand strand_;
    asio::steady_timer timer_;
    std::optional<Time> armed_;
    std::vector<std::unique_ptr<asio::signal_set>> signals_;
    bool stopped_ = false;
    std::vector<char> scrap_ = std::vector<char>(64 * 1024);
    std::unordered_set<std::shared_ptr<Link>> links_;
};

// The driver of one connection: two stackless coroutines on the strand, one that reads and one that writes.
class Link : public wire::Driver, public std::enable_shared_from_this<Link> {
public:
    Link(Loop& loop, std::shared_ptr<wire::Machine> machine, Socket socket);
    ~Link() override;

    // An accepted connection, and one to be made.
    static void accepted(Loop& loop, std::shared_ptr<wire::Machine> machine, Socket socket);
    static void connect(Loop& loop, std::shared_ptr<wire::Machine> machine,
                        const asio::generic::stream_protocol::endpoint& to);

    void wake() override;
    void drop() override;
    bool unread() const override;
    bool peerGone() override;

    static std::size_t open() { return open_; }

private:
    void start();
    void read(error_code error = {}, std::size_t n = 0);
    void write(error_code error = {}, std::size_t n = 0);
    void end(const error_code& error);
    void linger(error_code error = {}, std::size_t n = 0);
    void discard();
    void close();

    Loop& loop_;
    std::shared_ptr<wire::Machine> machine_;
    Socket socket_;
    asio::coroutine reader_, writer_;
    bool readerParked_ = false, writerParked_ = false, lingering_ = false, closed_ = false;
    Deadlines::Timer lingerTicket_;
    static std::size_t open_;
};

// Accepts connections and hands each to `make`, which says which machine serves it.
class Listener {
public:
    using Make = std::function<std::shared_ptr<wire::Machine>(Time)>;
    Listener(Loop& loop, const tcp::endpoint& at, Make make);
    // A listening socket that is somebody else's, inherited under this number. Throws std::runtime_error
    // saying why it is none, or not the one at `at`. It is only ever closed here.
    Listener(Loop& loop, int inherited, const tcp::endpoint& at, Make make);
    // A Unix socket at this path, in place of whoever listened there.
    Listener(Loop& loop, const std::string& path, Make make);
    // Asked before each accept: whether a descriptor is free, or could be freed.
    void setGate(std::function<bool(Time)> gate) { gate_ = std::move(gate); }
    void close();
    void pause();  // leaves new connections in the queue, for another process that accepts from it
    void resume();
    tcp::endpoint address() const;  // of a TCP listener

private:
    void accept(error_code error = {});

    Loop& loop_;
    asio::basic_socket_acceptor<asio::generic::stream_protocol> acceptor_;
    Make make_;
    std::function<bool(Time)> gate_;
    Socket next_;
    asio::coroutine routine_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>();  // gone with this object: accepts outlive it
    bool paused_ = false, waits_ = false;                     // waits_: an accept is under way
    Deadlines::Timer again_;
};

std::optional<tcp::endpoint> endpointOf(std::string_view address);  // "host:port", numbers only

}  // namespace amberswitch::net
