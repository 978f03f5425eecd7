// The TCP transport, with peers to which nothing goes any more: their calls hang until their time-out, as
// behind a cut link. A file lists their IPs, one a line; it is read on SIGUSR1.
#pragma once

#include <csignal>
#include <fstream>
#include <set>
#include <string>
#include <utility>

#include "cluster/common/tcp_transport.hpp"

namespace amberswitch::cluster::testing {

class CuttableTransport : public Transport {
public:
    CuttableTransport(EventLoop& loop, const NodeAddress& self, std::string cut_file)
        : loop_(loop), inner_(loop, self), cut_file_(std::move(cut_file)) {
        loop.onSignal(SIGUSR1, [this] { readFile(); });
        readFile();
    }

    void call(const NodeAddress& to, Envelope request, Millis timeout,
              std::function<void(CallResult)> done) override {
        if (!cut_.contains(to.ip)) return inner_.call(to, std::move(request), timeout, std::move(done));
        const std::uint64_t number = ++lost_calls_;
        timers_[number] = loop_.after(timeout, [this, number, done = std::move(done)] {
            loop_.post([this, number] { timers_.erase(number); });
            done(CallResult{});
        });
    }
    void serve(RequestHandler handler) override { inner_.serve(std::move(handler)); }

private:
    void readFile() {
        cut_.clear();
        std::ifstream file(cut_file_);
        for (std::string ip; std::getline(file, ip);) cut_.insert(ip);
    }

    EventLoop& loop_;
    TcpTransport inner_;
    std::string cut_file_;
    std::set<std::string> cut_;
    std::uint64_t lost_calls_ = 0;
    std::map<std::uint64_t, TimerHandle> timers_;
};

}  // namespace amberswitch::cluster::testing
