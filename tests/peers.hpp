// What the program meets, on raw loopback sockets: peers that write, close, break and stop reading when the
// test says so. Every wait is for a condition and has a bound that only a failure meets.
#pragma once

#include <arpa/inet.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <cerrno>
#include <chrono>
#include <functional>
#include <optional>
#include <thread>

#include "program.hpp"

namespace amberswitch::program {

inline constexpr int kGuardMs = 20'000;

inline bool until(const std::function<bool()>& holds) {
    const auto guard = std::chrono::steady_clock::now() + std::chrono::milliseconds(kGuardMs);
    while (!holds()) {
        if (std::chrono::steady_clock::now() > guard) return false;
        std::this_thread::yield();
    }
    return true;
}

inline sockaddr_in loopback(unsigned short port) {
    sockaddr_in out{};
    out.sin_family = AF_INET, out.sin_port = htons(port);
    out.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return out;
}

// One connection. What it reads has a bound in time; an empty answer is none.
class Peer {
public:
    explicit Peer(int descriptor) : fd_(descriptor) {
        const timeval guard{kGuardMs / 1000, 0};
        ::setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &guard, sizeof guard);
    }
    static Peer to(unsigned short port) {
        Peer out(::socket(AF_INET, SOCK_STREAM, 0));
        const sockaddr_in at = loopback(port);
        EXPECT_EQ(::connect(out.fd_, reinterpret_cast<const sockaddr*>(&at), sizeof at), 0);
        return out;
    }
    Peer(Peer&& other) noexcept : fd_(std::exchange(other.fd_, -1)), kept_(std::move(other.kept_)) {}
    Peer& operator=(Peer&& other) noexcept {
        close();
        fd_ = std::exchange(other.fd_, -1), kept_ = std::move(other.kept_);
        return *this;
    }
    ~Peer() { close(); }

    void close() {
        if (fd_ >= 0) ::close(std::exchange(fd_, -1));
    }
    void reset() {
        const linger hard{1, 0};
        ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
        close();
    }
    void shutdown() { ::shutdown(fd_, SHUT_WR); }
    bool send(const std::string& text) {
        return ::send(fd_, text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size());
    }
    // The next message, whole; empty at the connection's end.
    std::string message() {
        for (;;) {
            const std::size_t head = kept_.find("\r\n\r\n");
            if (head != std::string::npos) {
                const std::size_t at = kept_.find("Content-Length: ");
                const std::size_t whole = head + 4 + (at < head ? std::stoul(kept_.substr(at + 16)) : 0);
                if (kept_.size() >= whole) {
                    const std::string out = kept_.substr(0, whole);
                    kept_.erase(0, whole);
                    return out;
                }
            }
            char more[4096];
            const ssize_t n = ::recv(fd_, more, sizeof more, 0);
            if (n <= 0) {
                failed_ = n < 0 ? errno : 0;
                return {};
            }
            kept_.append(more, static_cast<std::size_t>(n));
        }
    }
    bool ended() { return message().empty() && failed_ == 0; }  // by a close, not by a reset
    // What was sent has arrived and was not answered by a reset.
    bool taken() {
        int unsent = 1, error = 0;
        socklen_t size = sizeof error;
        until([&] {
            ::getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size);
            return error != 0 || ::ioctl(fd_, SIOCOUTQ, &unsent) != 0 || unsent == 0;
        });
        pollfd look{fd_, 0, 0};
        return error == 0 && unsent == 0 && ::poll(&look, 1, 0) == 0;
    }
    int descriptor() const { return fd_; }

private:
    int fd_ = -1, failed_ = 0;
    std::string kept_;
};

class Listening {
public:
    // With a backlog of 0 one connection waits; the next ones don't come up until it was accepted.
    explicit Listening(int backlog = 128) : fd_(::socket(AF_INET, SOCK_STREAM, 0)) {
        sockaddr_in at = loopback(0);
        EXPECT_EQ(::bind(fd_, reinterpret_cast<const sockaddr*>(&at), sizeof at), 0);
        if (backlog >= 0) listen(backlog);
        socklen_t size = sizeof at;
        ::getsockname(fd_, reinterpret_cast<sockaddr*>(&at), &size);
        port = ntohs(at.sin_port);
    }
    ~Listening() { ::close(fd_); }
    Listening(const Listening&) = delete;
    Listening& operator=(const Listening&) = delete;
    void listen(int backlog = 128) { EXPECT_EQ(::listen(fd_, backlog), 0); }
    bool waits(int ms) const {
        pollfd look{fd_, POLLIN, 0};
        return ::poll(&look, 1, ms) > 0;
    }
    Peer accept() {
        EXPECT_TRUE(waits(kGuardMs)) << "nobody came";
        return Peer(waits(0) ? ::accept(fd_, nullptr, nullptr) : ::socket(AF_INET, SOCK_STREAM, 0));
    }
    std::string address() const { return "127.0.0.1:" + std::to_string(port); }
    unsigned short port = 0;

private:
    int fd_;
};

inline std::string entry(const std::string& name, const std::string& address,
                         const std::string& status = "Ready") {
    return R"({"name":")" + name + R"(","address":")" + address +
           R"(","zone":"sofia-1","type":"std-4","group":1,"status":")" + status +
           R"(","weight":1.0,"since_ms":0})";
}

// The program's file with this known list.
inline std::string knowing(const std::string& entries, std::string text = config(kSettings)) {
    const std::string none = R"("endpoints":[])";
    return text.replace(text.find(none), none.size(), R"("endpoints":[)" + entries + "]");
}

inline std::string replaced(std::string text, const std::string& what, const std::string& by) {
    const std::size_t at = text.find(what);
    EXPECT_NE(at, std::string::npos) << what;
    return at == std::string::npos ? text : text.replace(at, what.size(), by);
}

inline std::string job(const std::string& id, const std::string& more = "") {
    return "POST /car-match HTTP/1.1\r\nHost: x\r\nX-Trace-Id: " + id + "\r\n" + more +
           "Content-Length: 0\r\n\r\n";
}
inline std::string idOf(const std::string& request) {
    const std::size_t at = request.find("X-Trace-Id: ");
    return at == std::string::npos ? "" : request.substr(at + 12, request.find('\r', at) - at - 12);
}
inline const std::string kNeverRan = "HTTP/1.1 503 Busy\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n";
inline const std::string kTaken = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";

inline std::string callback(const std::string& id, const std::string& from, const std::string& state) {
    const std::string body = R"({"id":")" + id + R"(","from":")" + from + R"(","state":")" + state +
                             (state == "done" ? R"(","result":"r-)" + id : "") + "\"}";
    return "POST /callback HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

// The program's counters by name, asked over a connection of their own.
class Counters {
public:
    explicit Counters(unsigned short port) : peer_(Peer::to(port)) {}
    long operator[](const std::string& name) {
        peer_.send("GET /-/counters HTTP/1.1\r\nHost: x\r\n\r\n");
        const std::string text = "\n" + peer_.message();
        const std::size_t at = text.find("\n" + name + " ");
        return at == std::string::npos ? -1 : std::atol(text.c_str() + at + name.size() + 2);
    }
    bool reaches(const std::string& name, long value) {
        return until([&] { return (*this)[name] >= value; });
    }

private:
    Peer peer_;
};

// While it lives the program does nothing: what comes meanwhile comes to it in one turn.
class Stopped {
public:
    explicit Stopped(const Program& program) : pid_(program.child) {
        ::kill(pid_, SIGSTOP);
        int status = 0;
        ::waitpid(pid_, &status, WUNTRACED);
        EXPECT_TRUE(WIFSTOPPED(status));
    }
    ~Stopped() { ::kill(pid_, SIGCONT); }
    Stopped(const Stopped&) = delete;
    Stopped& operator=(const Stopped&) = delete;

private:
    pid_t pid_;
};

}  // namespace amberswitch::program
