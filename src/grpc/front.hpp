// The gRPC front: calls become transactions of the core, on the same decisions and rules as every other
// front.
#pragma once

#include <list>

#include "grpc/call.hpp"
#include "grpc/config.hpp"

namespace amberswitch::grpc {

class Front {
public:
    // `config` may be changed by configure(); its listen and bounds stay those of the start.
    Front(Core& core, Deadlines& deadlines, Config config);
    ~Front();

    // A new connection's machine; none where there are as many as there may be.
    std::shared_ptr<wire::Machine> accept(Time now);
    void configure(Config config) { config_ = std::move(config); }  // routes and metadata keys of new calls
    // The planned end: clients are told to open elsewhere at once, and half a second later what they begin
    // after that is not looked at.
    void drain(Time now);
    void resume();            // what comes from now on is served: the drain is taken back
    void closeAll(Time now);  // nothing is owed any more
    bool quiet() const;
    std::size_t held() const { return counters_.calls.held; }  // bytes of all calls, both ways
    std::size_t open() const { return connections_.size(); }

    struct Counters {
        CallCounters calls;
        http2::Counters sessions;
        std::uint64_t turnedAway = 0, noRoute = 0, badCalls = 0, noRoom = 0;
    };
    const Counters& counters() const { return counters_; }

private:
    class Connection;
    class Incoming;
    static constexpr Nanos kSecondStep = std::chrono::milliseconds(500);

    void arrive(Time now, Call& call, http2::Fields head);

    Core& core_;
    Deadlines& deadlines_;
    Config config_;
    std::size_t mostConnections_, mostStreams_, mostCalls_, hold_;
    std::list<std::shared_ptr<Connection>> connections_;
    bool draining_ = false, left_ = false;  // the first step of the planned end is done, and the second
    Deadlines::Timer second_;
    std::uint64_t lastCall_ = 0;
    Counters counters_;
};

}  // namespace amberswitch::grpc
