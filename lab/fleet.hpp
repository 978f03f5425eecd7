// The dispatchers: real processes of the program, each with an address, a folder and a configuration of its
// own.
#pragma once

#include <sys/types.h>

#include "lab/world.hpp"

namespace amberswitch::lab {

class Fleet {
public:
    struct Configured {  // what differs from one to the other
        std::string discovery, known;
    };
    using Configure = std::function<Configured(int dispatcher)>;
    // `folder` is made here, for this run alone. Addresses are taken by `block`, of 127.0.0.0/8.
    Fleet(World& world, std::string program, std::string folder, unsigned block, Configure configure);
    ~Fleet();  // ends all it started

    net::tcp::endpoint at(int dispatcher) const {
        return nodes_[static_cast<std::size_t>(dispatcher)].listen;
    }
    void start(Time now, int dispatcher, bool emptied = false);
    void signal(int dispatcher, int number);
    void reload(int dispatcher) { configure(dispatcher), signal(dispatcher, 1); }  // SIGHUP
    std::size_t starts(int dispatcher) const { return nodes_[static_cast<std::size_t>(dispatcher)].starts; }
    bool running(int dispatcher) const { return nodes_[static_cast<std::size_t>(dispatcher)].pid > 0; }
    void reap(Time now);  // after SIGCHLD
    void measure();       // descriptors and memory of all
    void endAll(int number);
    std::size_t count() const;

    std::function<void(Time, int dispatcher, bool ours)> ended;
    std::size_t mostDescriptors() const { return descriptors_; }
    std::size_t mostMemoryKb() const { return memoryKb_; }

private:
    struct Node {
        pid_t pid = -1;
        std::size_t starts = 0;
        bool ours = false;  // its end was ordered here
        net::tcp::endpoint listen;
        std::string folder;
    };
    void configure(int dispatcher);
    std::string settings(int dispatcher) const;

    World& world_;
    std::string program_, folder_;
    Configure configure_;
    std::vector<Node> nodes_;
    std::size_t descriptors_ = 0, memoryKb_ = 0;
};

}  // namespace amberswitch::lab
