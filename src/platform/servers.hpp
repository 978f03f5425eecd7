// The platform's application servers: pooled connections, jobs handed over, callbacks taken.
#pragma once

#include <memory>
#include <unordered_map>
#include <vector>

#include "core/core.hpp"
#include "http/client.hpp"
#include "platform/names.hpp"

namespace amberswitch::platform {

class Servers : public ApplicationServers {
public:
    Servers(Core& core, Deadlines& deadlines, wire::Connector& connector);
    ~Servers() override;

    void learn(Time now, Worker server, const std::string& name, const std::string& address);

    void start(Time now, const ProxyPass& pass) override;
    void abandon(Time now, const ProxyPass& pass) override;
    bool begun(const ProxyPass& pass) const override;
    void closeIdle(Time now, Worker server) override;
    void probe(Time now, Worker server) override;

    // The body of a call to /callback, and what became of it. A stranger's is for no pass that is open here.
    enum class Call { unreadable, taken, strangers };
    Call callback(Time now, const std::string& body);
    bool relieve(Time now);  // closes the connection that was idle longest, if there is one
    std::size_t idle() const;

    struct Counters {
        std::uint64_t connections = 0, reused = 0, taken = 0, callbacks = 0, strayCallbacks = 0, deletes = 0,
                      stale = 0;
    };
    const Counters& counters() const { return counters_; }

private:
    class Connection;
    struct Server {
        std::string name, address;
        std::vector<std::shared_ptr<Connection>> idle;  // the one used last is at the end
    };
    struct Active {  // a pass that has not ended
        TransactionId transaction = 0;
        std::uint32_t number = 0;
        Worker server = 0;
        std::shared_ptr<Connection> carrier;  // until the job is taken
    };

    std::shared_ptr<Connection> connectionTo(Time now, Worker server);
    void wentStale(Time now, Nanos rested);
    void ended(Time now, const std::string& traceId, TransactionId id, std::uint32_t number, End how,
               std::string result = {}, const LoadReport& load = {});
    Active* find(const std::string& traceId, TransactionId id, std::uint32_t number);
    const Active* find(const std::string& traceId, TransactionId id, std::uint32_t number) const;
    void erase(const std::string& traceId, TransactionId id, std::uint32_t number);

    Core& core_;
    Deadlines& deadlines_;
    wire::Connector& connector_;
    Nanos idleFor_, connectWithin_;
    std::vector<Server> servers_;
    std::unordered_map<std::string, std::vector<Active>> active_;  // by what the client calls the request
    simdjson::dom::parser json_;
    Counters counters_;
};

}  // namespace amberswitch::platform
