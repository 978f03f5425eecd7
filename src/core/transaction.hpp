// What the core keeps of a transaction and its proxy passes, and the narrow ways it is connected by. Nothing
// here names a wire.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "core/deadlines.hpp"
#include "core/end.hpp"

namespace amberswitch {

using heronmount::LoadReport;
using heronmount::Worker;
using TransactionId = std::uint64_t;  // numbered by the core: what clients call theirs is opaque

// What a front whose jobs are streams hands on along with the job, to application servers of the same kind.
// The core only keeps it for as long as the job.
class Attachment {
public:
    virtual ~Attachment() = default;
};

// What is handed on to an application server. A front fills in what its protocol has.
struct Job {
    std::string className;
    std::string method, target;  // as an HTTP client gave them; other fronts leave a usable default
    std::string traceId;         // what the client called it; never made up on the platform
    std::string contentType;
    std::string key;  // the client's key against repeats, empty if none
    std::string body;
    std::shared_ptr<Attachment> attachment;
};

enum class Partial { data, warning };  // what a job may send before its result, where the protocol has it

// The client's side of one transaction. Exactly one of served, unavailable and failed is called, once.
class ClientEnd {
public:
    virtual ~ClientEnd() = default;
    virtual void served(Time now, std::string result) = 0;
    virtual void unavailable(Time now, Nanos retryIn) = 0;
    virtual void failed(Time now, std::string_view why) = 0;  // `why` is what the last failed pass said
    virtual void started(Time) {}
    virtual void progress(Time, double) {}
    virtual void partial(Time, Partial, std::string_view) {}
    // Asked before anything is begun for it: it has gone, though its front was not told of that yet.
    virtual bool hasLeft() { return false; }
};

struct Arrival {
    heronmount::RequestArrived request;  // its id is filled in by the core
    Job job;
    std::shared_ptr<ClientEnd> client;
    int priority =
        1;  // 0 before 1 before 2, among jobs that wait for one application server, where it can be
};

struct ProxyPass {
    TransactionId transaction = 0;
    std::uint32_t number = 0;
    Worker server = 0;
    Time until{0};  // when it is given up
    const Job* job = nullptr;
    std::uint32_t klass = 0;
    int priority = 1;
};

// A set of application servers that speak one protocol.
class ApplicationServers {
public:
    virtual ~ApplicationServers() = default;
    virtual void start(Time now, const ProxyPass& pass) = 0;
    virtual void abandon(Time now, const ProxyPass& pass) = 0;  // it has ended for the core already
    // Whether any of it was given to the wire. What wasn't asks Core::mayBegin before it is.
    virtual bool begun(const ProxyPass&) const { return true; }
    virtual void closeIdle(Time now, Worker server) = 0;
    virtual void probe(Time now, Worker server) = 0;
};

// Whoever tells the farm's list.
class FarmSource {
public:
    virtual ~FarmSource() = default;
    virtual void watch(Time) {}  // where it must be asked; one that watches already goes on
};

struct FarmEntry {
    std::string name;
    heronmount::RosterEntry entry;  // worker and id are filled in by the core
    bool placed = true;             // its zone was told; else it is only taken to be near
};

// How the jobs of one class ended. Each job that a front could read is counted once: served with a result;
// declined with an unavailable answer, at the door or later; or aborted, which is every other answer. A job
// whose client left first is counted by `left` alone.
struct Ended {
    std::uint64_t succeeded = 0, declined = 0, aborted = 0;
};

struct Counters {
    std::vector<Ended> byClass;  // by the site's class
    std::uint64_t taken = 0, served = 0, unavailable = 0, failed = 0, left = 0;
    std::uint64_t leftUnheard = 0;  // of those, found gone when something was to be begun for them
    // Attempts whose last byte was written to an application server, whatever became of them.
    std::uint64_t forwards = 0;
    std::uint64_t passes = 0, started = 0, cancels = 0, withheld = 0, softened = 0, lateResults = 0;
    std::uint64_t farmUpdates = 0, farmLost = 0, committed = 0, sealed = 0, loadReports = 0;
    std::uint64_t ends[kEnds] = {};
};

}  // namespace amberswitch
