// The life of transactions between a front and the application servers. It feeds the module, carries out
// what the module asks for, and checks what the rules forbid. It knows no wire and no clock.
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
    // With a placement policy the module gets the classes once for each set of places that it names.
    Core(const settings::Site& site, std::uint64_t seed, Deadlines& deadlines,
         const placement::Policy& policy = {}, Time start = Time(0));

    // A source that is to watch its list when the module wants that.
    void addFarmSource(FarmSource& source) { sources_.push_back(&source); }

    // From a front. The final answer may come before this returns.
    TransactionId arrive(Time now, Arrival arrival);
    void clientLeft(Time now, TransactionId id);
    void giveUpAll(Time now);  // this process ends: answers all that is open
    // A front has answered a job itself that never became a transaction: unavailable, or failed.
    void turnedAway(std::uint32_t klass, bool unavailable);

    // From the application servers' side. A pass that has ended or never was is ignored.
    // Its last byte was written. Told once a pass, also after its end.
    void passWritten() { ++counters_.forwards; }
    void passStarted(Time now, TransactionId id, std::uint32_t pass);
    // Asked before the first byte of a pass that had to wait (for a connection, for a worker): whether it
    // would still be begun. If not it is to end as unsent.
    bool mayBegin(Time now, TransactionId id, std::uint32_t pass);
    void passProgress(Time now, TransactionId id, std::uint32_t pass, double share);
    void passPartial(Time now, TransactionId id, std::uint32_t pass, Partial kind, std::string_view bytes);
    void passEnded(Time now, TransactionId id, std::uint32_t pass, End how, std::string result = {},
                   const LoadReport& load = {});
    // The client has the first part of this pass's answer: no other pass may begin, those that are out are
    // called off, and its end is the transaction's end.
    void commit(Time now, TransactionId id, std::uint32_t pass);
    // What was sent is no longer held: no further pass may begin. Where the last one ends, so does the
    // transaction.
    void seal(TransactionId id);
    void probeAnswered(Time now, Worker server, bool ok, const LoadReport& load);

    // From a farm source. `servers` speak for the entries of this update. A whole list replaces what the
    // same source had told before, and nothing else.
    void farm(Time now, const FarmSource& source, ApplicationServers& servers, heronmount::RosterMode mode,
              const std::vector<FarmEntry>& entries);
    // A source can't be reached. Where `ask`, the module is to say when to ask again; else the source tries
    // by itself.
    void farmLost(Time now, bool ask = true);

    Worker handleOf(std::string_view name);  // dense, counted up as names are first heard
    bool accepts(Worker server) const { return server < farm_.size() && farm_[server].on; }
    bool openPass(TransactionId id, std::uint32_t pass) const;
    std::size_t open() const { return open_; }  // transactions still owed an answer
    std::size_t avoided() const { return dispatcher_.avoidedWorkerCount(); }  // of the listed: see the module
    std::size_t listed() const;  // application servers in the list, those that drain too
    const Counters& counters() const { return counters_; }
    const placement::Placement& placement() const { return placement_; }
    placement::Placement& placement() { return placement_; }
    // Told where servers stand, as soon as that has changed and before any job is sent by it.
    void setStandingsChanged(std::function<void(Time)> tell) { standingsChanged_ = std::move(tell); }
    Trace& trace() { return trace_; }
    const Trace& trace() const { return trace_; }
    const settings::Site& site() const { return site_; }

private:
    struct PassState {
        Worker server = 0;
        Time sent{0};
        bool open = false;
        ApplicationServers* side = nullptr;
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
        std::optional<std::uint32_t> committed;  // the pass whose answer the client is getting
        int zone = 0, cell = 0;
        Time anchoredAt{0};
        std::uint32_t out = 0;
        std::string lastFailure;
        // Where it may go. After it was widened the module counts its passes from `since` on.
        placement::Placement::Ticket ticket;
        heronmount::RequestArrived request;  // kept where it may be widened
        std::uint32_t since = 0;
        bool second = false;
        bool wentOut = false;
    };
    struct Server {
        std::string name;
        ApplicationServers* side = nullptr;
        const FarmSource* source = nullptr;
        bool listed = false, on = false;
        heronmount::RosterEntry entry;
    };

    Ended& endedOf(std::uint32_t klass) { return counters_.byClass[klass % counters_.byClass.size()]; }
    void tell(Time now, heronmount::Event event);
    void carryOut(Time now, const heronmount::Action& action);
    void send(Time now, const heronmount::Send& send);
    void endPass(Time now, Transaction& t, std::uint32_t number, End how, std::string result,
                 const LoadReport& load);
    bool legal(Time now, const Transaction& t, const Server& to) const;
    bool permitted(Time now, const Transaction& t, const Server& to, std::uint32_t others) const;
    bool wanted(Transaction& t);
    std::shared_ptr<ClientEnd> settled(Transaction& t);
    ProxyPass passOf(const Transaction& t, std::uint32_t number) const;
    bool widened(Time now, Transaction& t);
    bool anyFor(const Transaction& t) const { return taken_ >> t.klass & 1; }
    void due(Time now, TransactionId id);
    void forget(TransactionId id);
    static constexpr heronmount::RequestId kSecond = heronmount::RequestId{1} << 51;
    heronmount::RequestId idOf(const Transaction& t) const;
    Transaction* asked(heronmount::RequestId id);
    Transaction* find(TransactionId id);
    void fail(Time now, Transaction& t);
    void refuse(Time now, Transaction& t, Nanos retryIn);
    void settle(Time now, Transaction& t, std::uint32_t number, End how);
    Nanos advice() const;
    template <class Answer>
    void answer(Transaction& t, Answer&& say);

    settings::Site site_;
    placement::Placement placement_;
    heronmount::Dispatcher dispatcher_;
    Deadlines& deadlines_;
    std::vector<FarmSource*> sources_;
    std::unordered_map<std::string, Worker> handles_;
    std::vector<Server> farm_;
    std::unordered_map<TransactionId, Transaction> transactions_;
    std::deque<heronmount::Event> inbox_;
    std::vector<heronmount::Action> actions_;
    bool turning_ = false;
    TransactionId last_ = 0;
    std::size_t open_ = 0;
    std::uint64_t taken_ = 0;  // with a placement: the classes that some listed server takes
    std::function<void(Time)> standingsChanged_;
    Counters counters_;
    Trace trace_;
};

}  // namespace amberswitch
