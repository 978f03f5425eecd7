// Clients behind a front: it admits a dispatcher once that has said yes on /-/ready, and notices a dead one.
#pragma once

#include <set>

#include "lab/ends.hpp"
#include "lab/world.hpp"

namespace amberswitch::lab {

class Clients {
public:
    using EndpointOf = std::function<net::tcp::endpoint(int dispatcher)>;
    Clients(World& world, EndpointOf dispatcherAt);

    void started(int dispatcher);  // the front asks it from now on whether it is ready
    void gone(int dispatcher);     // the front has noticed
    void burst(double factor) { factor_ = factor; }
    void stop() { stopped_ = true; }
    std::size_t everReady() const { return ever_.size(); }
    std::size_t readyNow() const { return admitted_.size(); }
    Time lastReady() const { return lastReady_; }

private:
    struct Task {
        Time came{0}, giveUp{0};
        std::size_t tries = 0;
        bool home = false;
    };
    void arrive(Time now);
    void send(Time now, Task task);
    void pass(Time now, int dispatcher, Task task, const std::string& id, bool again);
    void later(Time now, Task task, double seconds);
    int draw();  // a dispatcher, or -1
    void lookAt(int dispatcher, std::uint64_t run);

    World& world_;
    EndpointOf dispatcherAt_;
    std::vector<std::vector<std::shared_ptr<Asking>>> idle_;
    std::vector<std::uint64_t> runs_;  // counts its starts
    std::set<int> ever_;
    std::vector<int> admitted_;
    std::vector<int> leaving_;  // the front has noticed, and connections to them are open
    Time lastReady_{0};
    double factor_ = 1;
    std::uint64_t ids_ = 0;
    bool stopped_ = false;
};

}  // namespace amberswitch::lab
