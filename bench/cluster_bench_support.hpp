// What the measurements of the cluster share: processor time and memory of whole processes, child processes
// that play one role, and medians over repeated runs.
#pragma once

#include <arpa/inet.h>
#include <glog/logging.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "cluster/common/event_loop.hpp"
#include "cluster/common/types.hpp"

namespace amberswitch::cluster::bench {

// User and system time of a whole process with all its threads, in microseconds.
inline double processorMicros(pid_t process) {
    clockid_t clock{};
    if (clock_getcpuclockid(process, &clock) != 0) throw std::runtime_error("no clock of the process");
    timespec time{};
    clock_gettime(clock, &time);
    return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
}

// One field of /proc/PID/status that is given in kB, in bytes; 0 where it is missing.
inline double statusBytes(pid_t process, const std::string& field) {
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with(field + ":"))
            return std::strtod(line.c_str() + field.size() + 1, nullptr) * 1024;
    }
    return 0;
}
inline double residentBytes(pid_t process) {
    return statusBytes(process, "VmRSS");
}

// Port numbers that nothing listens at now.
inline std::uint16_t freePort() {
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    ::bind(socket, reinterpret_cast<sockaddr*>(&address), sizeof address);
    socklen_t size = sizeof address;
    ::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
    ::close(socket);
    return ntohs(address.sin_port);
}

// A process that plays one role until this object dies.
class ChildProcess {
public:
    explicit ChildProcess(const std::function<void()>& play) : process_(fork()) {
        if (process_ < 0) throw std::runtime_error("fork failed");
        if (process_ > 0) return;
        try {
            play();
        } catch (const std::exception& error) {
            std::fprintf(stderr, "child: %s\n", error.what());
        }
        _exit(1);
    }
    ~ChildProcess() {
        kill(process_, SIGKILL);
        waitpid(process_, nullptr, 0);
    }
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;

    pid_t process() const { return process_; }
    double micros() const { return processorMicros(process_); }
    double resident() const { return residentBytes(process_); }

private:
    pid_t process_;
};

// Runs the loop for that long.
inline void runFor(EventLoop& loop, Millis span) {
    const TimerHandle timer = loop.after(span, [&loop] { loop.stop(); });
    loop.run();
}

// Begins exchanges until all rounds are done, with as many open at once as asked.
class Rounds {
public:
    using Begin = std::function<void(int round, std::function<void()> done)>;
    Rounds(EventLoop& loop, int rounds, int at_once, Begin begin)
        : loop_(loop), begin_(std::move(begin)), rounds_(rounds), at_once_(at_once) {}

    void run() {
        loop_.post([this] { fill(); });
        loop_.run();
    }

private:
    void fill() {
        while (open_ < at_once_ && next_ < rounds_) {
            ++open_;
            begin_(next_++, [this] { ended(); });
        }
        if (open_ == 0) loop_.stop();
    }
    void ended() {
        --open_;
        fill();
    }

    EventLoop& loop_;
    Begin begin_;
    int rounds_;
    int at_once_;
    int next_ = 0;
    int open_ = 0;
};

// Values of repeated runs.
class Series {
public:
    void add(double value) { values_.push_back(value); }
    void print(const std::string& what, const char* unit) {
        std::sort(values_.begin(), values_.end());
        std::printf("%-58s %10.2f %s  (%.2f to %.2f, %zu runs)\n", what.c_str(), values_[values_.size() / 2],
                    unit, values_.front(), values_.back(), values_.size());
        std::fflush(stdout);
    }

private:
    std::vector<double> values_;
};

inline void quietLog(const char* program) {
    FLAGS_logtostderr = true;
    FLAGS_minloglevel = 2;
    google::InitGoogleLogging(program);
}

}  // namespace amberswitch::cluster::bench
