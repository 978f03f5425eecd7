// Manages the lifetime of transactions between the protocol fronts and the application servers. The core
// passes events to the dispatcher (heronmount), executes the actions that it returns, and checks each of them
// against the rules of the site. It does no I/O and reads no clock: callers pass in the time.
#pragma once

#include <deque>
#include <functional>
#include <optional>
#include <unordered_map>

#include "core/trace.hpp"
#include "core/transaction.hpp"
#include "placement/placement.hpp"
#include "settings/settings.hpp"

namespace amberswitch {

class Core {
public:
    // `deadlines` must outlive the core. With a placement policy, the dispatcher is given a copy of the
    // classes for each set of places that the policy names.
    Core(const settings::Site& site, std::uint64_t seed, Deadlines& deadlines,
         const placement::Policy& policy = {}, Time start = Time(0));

    // Registers a source whose watch() is called when the dispatcher asks for a roster. Not owned.
    void addRosterSource(RosterSource& source) { sources_.push_back(&source); }

    // --- Called by the fronts ---
    // Starts a transaction. The final answer may be given before this returns.
    TransactionId arrive(Time now, Arrival arrival);
    void clientLeft(Time now, TransactionId id);
    void giveUpAll(Time now);  // at process shutdown: answers every open transaction
    // Counts a job that a front answered by itself, as unavailable or as failed, without starting a
    // transaction.
    void countRejectedByFront(std::uint32_t klass, bool unavailable);

    // --- Called by the server pools ---
    // Calls for a pass that has ended or does not exist are ignored.
    // The last byte of a pass was written. Called once per pass, possibly after the pass has ended.
    void passWritten() { ++counters_.forwards; }
    void passStarted(Time now, TransactionId id, std::uint32_t pass);
    // Returns whether a pass that had to wait (for a connection or a worker) may still be sent. The pool
    // calls this before it writes the first byte; if the result is false, it ends the pass with End::unsent.
    bool mayBegin(Time now, TransactionId id, std::uint32_t pass);
    void passProgress(Time now, TransactionId id, std::uint32_t pass, double share);
    void passPartial(Time now, TransactionId id, std::uint32_t pass, Partial kind, std::string_view bytes);
    void passEnded(Time now, TransactionId id, std::uint32_t pass, End how, std::string result = {},
                   const LoadReport& load = {});
    // The client has received the first part of this pass's answer: no other pass may start, the other open
    // passes are cancelled, and the end of this pass ends the transaction.
    void commit(Time now, TransactionId id, std::uint32_t pass);
    // The request body is no longer buffered, so no further pass may start. The transaction ends with its
    // last open pass.
    void seal(TransactionId id);
    void probeAnswered(Time now, Worker server, bool ok, const LoadReport& load);

    // --- Called by the roster sources ---
    // Applies a roster update. `servers` is the pool that connects to the listed servers. A full list
    // replaces the servers previously listed by the same source; those of other sources stay.
    void updateRoster(Time now, const RosterSource& source, ApplicationServers& servers,
                      heronmount::RosterMode mode, const std::vector<RosterServer>& entries);
    // A source is unreachable. If `ask` is true, the dispatcher decides when to ask again; otherwise the
    // source retries by itself.
    void rosterLost(Time now, bool ask = true);

    Worker handleOf(std::string_view name);  // dense, assigned in the order in which names are first seen
    bool accepts(Worker server) const { return server < servers_.size() && servers_[server].on; }
    bool isPassOpen(TransactionId id, std::uint32_t pass) const;
    std::size_t openTransactions() const { return openTransactions_; }  // without a final answer
    std::size_t avoidedWorkerCount() const { return dispatcher_.avoidedWorkerCount(); }  // see Dispatcher
    std::size_t listedServers() const;  // application servers in the roster, including draining ones
    const Counters& counters() const { return counters_; }
    const placement::Placement& placement() const { return placement_; }
    placement::Placement& placement() { return placement_; }
    // Sets the function that is called when the placement of servers has changed, before any job is sent
    // according to the change.
    void setPlacementsChanged(std::function<void(Time)> notify) { placementsChanged_ = std::move(notify); }
    Trace& trace() { return trace_; }
    const Trace& trace() const { return trace_; }
    const settings::Site& site() const { return site_; }

private:
    struct PassState {
        Worker server = 0;
        Time sent{0};
        bool open = false;
        ApplicationServers* pool = nullptr;
        Time until{0};
    };
    struct Transaction {
        TransactionId id = 0;
        Job job;
        std::shared_ptr<ClientEnd> client;
        std::uint32_t klass = 0;
        int priority = 1;
        Time deadline{0};
        std::vector<PassState> passes;
        bool answered = false, mayHaveRun = false, sealed = false;
        std::optional<std::uint32_t> committed;  // the pass whose answer is being forwarded
        int zone = 0, cell = 0;
        Time dedupStart{0};
        std::uint32_t openPasses = 0;
        std::string lastFailure;
        // The places where the job may run. Once the ticket is widened, the dispatcher handles the job as a
        // new request (`widenedRequest`) whose attempts are numbered from `firstPass` on.
        placement::Placement::Ticket ticket;
        heronmount::RequestArrived request;  // kept only with a placement policy, for widening
        std::uint32_t firstPass = 0;
        bool widenedRequest = false;
        bool sentOutside = false;
    };
    struct Server {
        std::string name;
        ApplicationServers* pool = nullptr;
        const RosterSource* source = nullptr;
        bool listed = false, on = false;
        heronmount::RosterEntry entry;
    };

    ClassTotals& totalsOf(std::uint32_t klass) { return counters_.byClass[klass % counters_.byClass.size()]; }
    void dispatch(Time now, heronmount::Event event);
    void execute(Time now, const heronmount::Action& action);
    void send(Time now, const heronmount::Send& send);
    void endPass(Time now, Transaction& t, std::uint32_t number, End how, std::string result,
                 const LoadReport& load);
    bool mayStartPass(Time now, const Transaction& t, const Server& to) const;
    bool isPermitted(Time now, const Transaction& t, const Server& to, std::uint32_t others) const;
    bool checkClientWaiting(Transaction& t);
    std::shared_ptr<ClientEnd> markSettled(Transaction& t);
    ProxyPass passOf(const Transaction& t, std::uint32_t number) const;
    bool tryWiden(Time now, Transaction& t);
    bool hasServerFor(const Transaction& t) const { return servedClassMask_ >> t.klass & 1; }
    void deadlineReached(Time now, TransactionId id);
    void eraseIfFinished(TransactionId id);
    static constexpr heronmount::RequestId kWidenedRequestBit = heronmount::RequestId{1} << 51;
    heronmount::RequestId requestIdOf(const Transaction& t) const;
    Transaction* findByRequestId(heronmount::RequestId id);
    Transaction* find(TransactionId id);
    void fail(Time now, Transaction& t);
    void refuse(Time now, Transaction& t, Nanos retryIn);
    void settleAfterPass(Time now, Transaction& t, std::uint32_t number, End how);
    Nanos retryAdvice() const;
    template <class Answer>
    void answer(Transaction& t, Answer&& say);

    settings::Site site_;
    placement::Placement placement_;
    heronmount::Dispatcher dispatcher_;
    Deadlines& deadlines_;
    std::vector<RosterSource*> sources_;
    std::unordered_map<std::string, Worker> handles_;
    std::vector<Server> servers_;
    std::unordered_map<TransactionId, Transaction> transactions_;
    std::deque<heronmount::Event> events_;
    std::vector<heronmount::Action> actions_;
    bool dispatching_ = false;
    TransactionId lastId_ = 0;
    std::size_t openTransactions_ = 0;
    std::uint64_t servedClassMask_ = 0;  // with a placement policy: classes that some server accepts
    std::function<void(Time)> placementsChanged_;
    Counters counters_;
    Trace trace_;
};

}  // namespace amberswitch
