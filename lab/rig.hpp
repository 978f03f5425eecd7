// One run of a script: the fleet, the stand-ins and the faults on one loop, and what came of it.
#pragma once

#include <spdlog/logger.h>

#include "lab/clients.hpp"
#include "lab/farm.hpp"
#include "lab/fleet.hpp"
#include "lab/lists.hpp"

namespace amberswitch::lab {

struct Mark {  // a fault set in, or was over
    double at = 0;
    std::string what;
};

struct Result {
    std::string name;
    std::uint64_t seed = 0;
    std::size_t dispatchers = 0;
    std::vector<std::array<std::uint32_t, kCounts>> seconds;
    std::vector<Mark> marks;
    std::vector<std::string> wrongs;  // rules broken and bounds not kept
    std::size_t wrongCount = 0;
    double wholeEach = 0, turnedAway = 0, overPace = 0, ready = -1, servedShare = 0;
    std::size_t wholeAfter = 0, everReady = 0, descriptors = 0, memoryKb = 0, connections = 0;
    std::uint64_t listCalls = 0, wholeLists = 0, falls = 0;
    bool good() const { return wrongCount == 0; }
};

struct Options {
    std::string program, folder;
    unsigned block = 0;  // of loopback addresses: two runs at once must differ
    std::function<void(const std::string&)> progress;
};

class Rig {
public:
    Rig(const Script& script, const Options& options, std::shared_ptr<spdlog::logger> log);
    Result run();

private:
    struct State {
        enum { waits, ripe, on, over } phase = waits;
        Time due{0}, until{0};
        std::vector<int> whom;
    };
    void look(Time now);  // which faults set in or end
    bool holds(const Condition& when) const;
    void begin(Time now, std::size_t fault);
    void end(Time now, std::size_t fault);
    void act(Time now, const Fault& fault, const std::vector<int>& whom, bool on);
    void paths(Time now, const Fault& fault, int dispatcher, bool on);
    void startOne(Time now, int dispatcher, bool emptied);
    std::vector<int> draw(const Fault& fault);
    void second(Time now);
    Result judge(Time now);

    const Script& script_;
    Options options_;
    std::shared_ptr<spdlog::logger> log_;
    net::Loop loop_;
    World world_;
    std::unique_ptr<Fleet> fleet_;
    std::unique_ptr<Farm> farm_;
    std::unique_ptr<Lists> lists_;
    std::unique_ptr<Clients> clients_;
    std::vector<State> states_;
    std::vector<Mark> marks_;
    std::set<int> returning_;  // of a roll: started again once they have ended
    std::optional<Time> firstFault_;
    std::uint64_t wholeBefore_ = 0;
    bool looking_ = false, ending_ = false;
};

}  // namespace amberswitch::lab
