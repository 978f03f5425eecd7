// The job servers that speak gRPC: a farm source of its own (the operator file's list) and the side that
// carries passes to them, as streams of shared HTTP/2 connections.
#pragma once

#include <boost/random/mersenne_twister.hpp>
#include <list>
#include <map>

#include "grpc/call.hpp"
#include "grpc/config.hpp"

namespace amberswitch::grpc {

class Servers : public ApplicationServers, public RosterSource {
public:
    Servers(Core& core, Deadlines& deadlines, wire::Connector& connector, const Config& config,
            std::uint64_t seed);
    ~Servers() override;

    // The list as it is from now on. Who is missing is gone; who is to drain finishes what it has.
    void configure(Time now, const Config& config);
    void closeAll(Time now);

    void start(Time now, const ProxyPass& pass) override;
    void abandon(Time now, const ProxyPass& pass) override;
    bool begun(const ProxyPass& pass) const override;
    void closeIdle(Time now, Worker server) override;
    void probe(Time now, Worker server) override;

    std::size_t openPasses() const { return passes_.size(); }
    std::size_t openConnections() const;

    struct Counters {
        http2::Counters sessions;
        std::uint64_t passes = 0, noRoom = 0, backedOff = 0, goneAway = 0, restarts = 0, notGrpc = 0;
    };
    const Counters& counters() const { return counters_; }

private:
    class Connection;
    class Pass;
    using PassKey = std::pair<TransactionId, std::uint32_t>;
    struct Server {
        ServerEntry entry;
        std::list<std::shared_ptr<Connection>> connections;
        std::size_t open = 0;   // passes
        unsigned failures = 0;  // connects that failed, in a row
        Time notBefore{0};      // the next connect
        Time since{0};
    };

    RosterServer told(const Server& server) const;
    Server* serverOf(Worker handle);
    std::shared_ptr<Connection> connectionFor(Time now, Worker handle, Server& server, End& otherwise);
    void connected(Time now, Worker handle);
    void sift(Time now, const Connection& opened);
    void notConnected(Time now, Worker handle);
    void tick(Time now);

    Core& core_;
    Deadlines& deadlines_;
    wire::Connector& connector_;
    Config config_;
    boost::random::mt19937_64 random_;
    std::map<Worker, Server> servers_;
    std::map<PassKey, std::shared_ptr<Pass>> passes_;
    Deadlines::Timer tick_;
    Counters counters_;
};

// `endpoint-load-metrics` of a trailer: "TEXT name=value, ..." or "JSON {...}".
LoadReport readLoad(const std::string* value);

}  // namespace amberswitch::grpc
