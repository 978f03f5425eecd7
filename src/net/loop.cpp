#include "net/loop.hpp"

#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <charconv>
#include <cstdio>
#include <cstring>
// clang-format off
#include <boost/asio/yield.hpp>  // last: it defines words
// clang-format on

namespace amberswitch::net {

// --- clock and loop ---
Clock::Clock()
    : wall_(std::chrono::duration_cast<Nanos>(std::chrono::system_clock::now().time_since_epoch())),
      steady_(std::chrono::duration_cast<Nanos>(std::chrono::steady_clock::now().time_since_epoch())) {}

Time Clock::now() const {
    const auto steady =
        std::chrono::duration_cast<Nanos>(std::chrono::steady_clock::now().time_since_epoch());
    return wall_ + (steady - steady_);
}

Loop::Loop() : Loop([clock = Clock()] { return clock.now(); }) {}
Loop::Loop(std::function<Time()> clock)
    : clock_(std::move(clock)), strand_(asio::make_strand(io_)), timer_(io_) {}

void Loop::onSignal(int number, std::function<void(Time)> action) {
    signals_.push_back(std::make_unique<asio::signal_set>(io_, number));
    signals_.back()->async_wait(
        asio::bind_executor(strand_, [this, number, action = std::move(action)](error_code error, int) {
            if (error) return;
            action(now());
            onSignal(number, action);
        }));
}

void Loop::rearm() {
    const auto head = deadlines_.earliest();
    if (head == armed_) return;
    armed_ = head;
    if (!head) {
        timer_.cancel();
        return;
    }
    timer_.expires_after(std::max(Nanos(0), *head - now()));
    timer_.async_wait(asio::bind_executor(strand_, [this](error_code error) {  // its turn sweeps
        if (!error) armed_.reset();
    }));
}

void Loop::release(const std::shared_ptr<Link>& link) {
    asio::post(strand_, [this, link] { links_.erase(link); });
}

void Loop::handleReady() {
    constexpr int kMostInATurn = 64;
    for (int i = 0; i < kMostInATurn && io_.poll_one() > 0; ++i) {
    }
}

void Loop::poll() {
    io_.restart();
    handleReady();
    deadlines_.sweep(now());
}

void Loop::run() {
    const auto work = asio::make_work_guard(io_);
    while (!stopped_) {
        deadlines_.sweep(now());
        rearm();
        if (stopped_) break;
        io_.run_one();
        handleReady();
    }
}

// --- link ---
std::size_t Link::open_ = 0;

Link::Link(Loop& loop, std::shared_ptr<wire::Machine> machine, Socket socket)
    : loop_(loop), machine_(std::move(machine)), socket_(std::move(socket)) {
    ++open_;
}

Link::~Link() {
    if (!closed_) --open_;
}

void Link::accepted(Loop& loop, std::shared_ptr<wire::Machine> machine, Socket socket) {
    const auto link = std::make_shared<Link>(loop, std::move(machine), std::move(socket));
    link->machine_->attach(link.get());
    link->start();
    if (!link->machine_->out().empty()) link->wake();  // some protocols have the first word
}

void Link::connect(Loop& loop, std::shared_ptr<wire::Machine> machine,
                   const asio::generic::stream_protocol::endpoint& to) {
    const auto link = std::make_shared<Link>(loop, std::move(machine), Socket(loop.strand()));
    link->machine_->attach(link.get());
    link->socket_.async_connect(to, asio::bind_executor(loop.strand(), [link](error_code error) {
                                    if (link->closed_) return;
                                    if (error) {
                                        link->machine_->attach(nullptr);
                                        link->close();
                                        link->machine_->ended(link->loop_.now(), End::connectRefused);
                                        return;
                                    }
                                    link->start();
                                    link->machine_->opened(link->loop_.now());
                                }));
}

void Link::start() {
    error_code ignored;
    socket_.non_blocking(true, ignored);
    socket_.set_option(tcp::no_delay(true), ignored);
    socket_.set_option(asio::socket_base::keep_alive(true), ignored);
    loop_.keep(shared_from_this());
    writerParked_ = true;  // the writer begins when it is woken
    read();
}

void Link::wake() {
    if (readerParked_ && !machine_->in().space().empty()) read();
    if (writerParked_) write();
}

void Link::close() {
    if (std::exchange(closed_, true)) return;
    --open_;
    lingerTicket_.disarm();
    discard();
    error_code ignored;
    socket_.close(ignored);
    // The machine may be in the middle of a call: it goes with the link, and that only in a later turn.
    loop_.release(shared_from_this());
}

// Guards against a reset: a close over bytes that were not read sends one, and what was written last may go
// with it.
void Link::discard() {
    constexpr int kMostReads = 4;  // of what a peer sends without end nothing can be saved
    const std::span<char> scrap = loop_.scrap();
    for (int i = 0;
         i<kMostReads&& ::recv(socket_.native_handle(), scrap.data(), scrap.size(), MSG_DONTWAIT)> 0; ++i) {
    }
}

void Link::drop() {
    close();
}

// Asked before work is begun for the other side. Guards against a close that waits behind unread bytes, or
// behind others' events: reading would tell of it too late.
bool Link::peerGone() {
    pollfd look{socket_.native_handle(), POLLRDHUP, 0};
    return closed_ || (::poll(&look, 1, 0) > 0 && (look.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0);
}

bool Link::unread() const {
    error_code failed;
    return !closed_ && socket_.available(failed) > 0 && !failed;
}

void Link::end(const error_code& error) {
    if (closed_) return;
    machine_->attach(nullptr);
    close();
    machine_->ended(loop_.now(), error == asio::error::eof ? End::peerClosed : End::peerReset);
}

void Link::read(error_code error, std::size_t n) {
    if (closed_ || lingering_) return;
    const auto self = shared_from_this();
    reenter(reader_) {
        for (;;) {
            while (machine_->in().space().empty()) yield readerParked_ = true;
            readerParked_ = false;
            yield {
                const auto room = machine_->in().space();
                socket_.async_read_some(
                    asio::buffer(room.data(), room.size()),
                    asio::bind_executor(loop_.strand(),
                                        [self](error_code e, std::size_t got) { self->read(e, got); }));
            }
            if (error) return end(error);
            machine_->in().filled(n);
            machine_->received(loop_.now());
            if (closed_ || lingering_) return;
        }
    }
}

void Link::write(error_code error, std::size_t n) {
    if (closed_ || lingering_) return;
    const auto self = shared_from_this();
    reenter(writer_) {
        for (;;) {
            while (machine_->out().empty()) {
                if (machine_->finished()) {
                    socket_.shutdown(tcp::socket::shutdown_send, error);
                    lingering_ = true;
                    lingerTicket_.arm(loop_.deadlines(), loop_.now() + std::chrono::seconds(1),
                                      [this](Time) { end(asio::error::eof); });
                    socket_.cancel(error);
                    linger();
                    return;
                }
                yield writerParked_ = true;
            }
            writerParked_ = false;
            yield {
                const auto bytes = machine_->out().pending();
                socket_.async_write_some(
                    asio::buffer(bytes.data(), bytes.size()),
                    asio::bind_executor(loop_.strand(),
                                        [self](error_code e, std::size_t put) { self->write(e, put); }));
            }
            if (error) return end(error);
            machine_->out().sent(n);
            machine_->sent(loop_.now());
            if (closed_) return;
        }
    }
}

// Guards against a reset that overtakes the last answer: what the other side still sends is read and thrown
// away until it closes, for a second at most.
void Link::linger(error_code error, std::size_t) {
    if (closed_) return;
    if (error && error != asio::error::operation_aborted) return end(error);
    const auto self = shared_from_this();
    socket_.async_read_some(
        asio::buffer(loop_.scrap().data(), loop_.scrap().size()),
        asio::bind_executor(loop_.strand(), [self](error_code e, std::size_t got) { self->linger(e, got); }));
}

// --- listener ---
Listener::Listener(Loop& loop, const tcp::endpoint& at, Make make)
    : loop_(loop), acceptor_(loop.strand()), make_(std::move(make)), next_(loop.strand()) {
    acceptor_.open(at.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    error_code taken;
    acceptor_.bind(at, taken);
    if (taken)
        throw std::runtime_error("can't listen on " + at.address().to_string() + ':' +
                                 std::to_string(at.port()) + ": " + taken.message());
    acceptor_.listen(1024);
    accept();
}

Listener::Listener(Loop& loop, int inherited, const tcp::endpoint& at, Make make)
    : loop_(loop), acceptor_(loop.strand()), make_(std::move(make)), next_(loop.strand()) {
    const std::string name = "descriptor " + std::to_string(inherited);
    int listens = 0, type = 0;
    socklen_t size = sizeof listens;
    if (::fcntl(inherited, F_GETFD) < 0) throw std::runtime_error(name + " is not open");
    if (::getsockopt(inherited, SOL_SOCKET, SO_TYPE, &type, &size) != 0 || type != SOCK_STREAM)
        throw std::runtime_error(name + " is no stream socket");
    size = sizeof listens;
    if (::getsockopt(inherited, SOL_SOCKET, SO_ACCEPTCONN, &listens, &size) != 0 || !listens)
        throw std::runtime_error(name + " does not listen");
    sockaddr_storage bound{};
    size = sizeof bound;
    tcp::endpoint own;
    if (::getsockname(inherited, reinterpret_cast<sockaddr*>(&bound), &size) != 0 || size > own.capacity() ||
        (bound.ss_family != AF_INET && bound.ss_family != AF_INET6))
        throw std::runtime_error(name + " is no TCP socket");
    std::memcpy(own.data(), &bound, size);
    own.resize(size);
    if (own != at)
        throw std::runtime_error(name + " listens on " + own.address().to_string() + ':' +
                                 std::to_string(own.port()) + ", not on the address of 'listen'");
    ::fcntl(inherited, F_SETFD, FD_CLOEXEC);
    acceptor_.assign(own.protocol(), inherited);
    acceptor_.non_blocking(true);
    paused_ = true;  // until there is something to serve with
    accept();
}

Listener::Listener(Loop& loop, const std::string& path, Make make)
    : loop_(loop), acceptor_(loop.strand()), make_(std::move(make)), next_(loop.strand()) {
    // Guards against a moment in which nobody is found there: the name changes hands at once.
    const std::string fresh = path + '.' + std::to_string(::getpid());
    ::unlink(fresh.c_str());
    const asio::local::stream_protocol::endpoint at(fresh);
    acceptor_.open(at.protocol());
    error_code failed;
    acceptor_.bind(at, failed);
    if (!failed) acceptor_.listen(16, failed);
    if (!failed && std::rename(fresh.c_str(), path.c_str()) != 0)
        failed = error_code(errno, boost::system::generic_category());
    if (failed) {
        ::unlink(fresh.c_str());
        throw std::runtime_error("can't listen on " + path + ": " + failed.message());
    }
    accept();
}

tcp::endpoint Listener::address() const {
    const auto bound = acceptor_.local_endpoint();
    tcp::endpoint out;
    if (bound.size() <= out.capacity())
        std::memcpy(out.data(), bound.data(), bound.size()), out.resize(bound.size());
    return out;
}

void Listener::pause() {
    paused_ = true;
    error_code ignored;
    if (acceptor_.is_open()) acceptor_.cancel(ignored);
}

void Listener::resume() {
    if (std::exchange(paused_, false) && !waits_ && acceptor_.is_open()) accept();
}

void Listener::accept(error_code error) {
    reenter(routine_) {
        for (;;) {
            // Guards against running out of descriptors: connections wait in the backlog until one is free.
            while (paused_) yield waits_ = false;
            waits_ = true;
            while (!paused_ && gate_ && !gate_(loop_.now()))
                yield again_.arm(loop_.deadlines(), loop_.now() + std::chrono::milliseconds(10),
                                 [this](Time) { accept(); });
            if (paused_) continue;
            yield acceptor_.async_accept(
                next_,
                asio::bind_executor(loop_.strand(), [this, alive = std::weak_ptr(alive_)](error_code e) {
                    if (!alive.expired()) accept(e);
                }));
            if (!acceptor_.is_open()) return;
            if (error == asio::error::operation_aborted) continue;  // paused, or about to be
            if (error) {
                // Guards against a spin on an error that stays, such as a full descriptor table.
                yield again_.arm(loop_.deadlines(), loop_.now() + std::chrono::milliseconds(10),
                                 [this](Time) { accept(); });
                continue;
            }
            {
                Socket socket = std::move(next_);
                next_ = Socket(loop_.strand());
                if (auto machine = make_(loop_.now()))
                    Link::accepted(loop_, std::move(machine), std::move(socket));
            }
        }
    }
}

void Listener::close() {
    if (!acceptor_.is_open()) return;
    again_.disarm();
    error_code ignored;
    acceptor_.close(ignored);
}

std::optional<tcp::endpoint> endpointOf(std::string_view address) {
    const std::size_t colon = address.rfind(':');
    if (colon == std::string_view::npos) return std::nullopt;
    std::string_view host = address.substr(0, colon);
    const std::string_view digits = address.substr(colon + 1);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') host = host.substr(1, host.size() - 2);
    std::uint16_t port = 0;
    const auto [end, bad] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    error_code error;
    const auto ip = asio::ip::make_address(std::string(host), error);
    if (error || bad != std::errc() || end != digits.data() + digits.size()) return std::nullopt;
    return tcp::endpoint(ip, port);
}

}  // namespace amberswitch::net
