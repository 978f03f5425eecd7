// Restricts the servers that a job may be sent to, according to the placement policy. It doesn't choose a
// server: it assigns a set of jurisdictions to each job, and to each server the sets that contain it. The
// dispatcher sees separate job classes for each set. So it picks among the permitted servers, and jobs that
// wait for one set don't affect the admission of others. No I/O; callers pass in the time.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "placement/ledger.hpp"
#include "placement/policy.hpp"
#include "settings/settings.hpp"

namespace amberswitch::placement {

enum class PlacementReason { none, unknownPlace, labelChanged, known };  // how a jurisdiction was found
const char* nameOf(PlacementReason reason);

struct ServerPlacement {
    std::uint32_t jurisdictions = 0;  // bit mask; 0 if jobs bound to a jurisdiction must not run here
    PlacementReason reason = PlacementReason::none;
    Time since{0};
    int zone = -1;
    Time start{0};  // of the server process
    std::string name;
};

struct Counters {
    std::uint64_t bound = 0, spilled = 0, returned = 0, allowanceSpent = 0, refusedHome = 0, nowhere = 0;
    std::uint64_t labelChanged = 0, unknownPlace = 0;
};

class Placement {
public:
    // Adds the classes and kinds of all sets to `site`. Throws BadField if there are too many.
    Placement(const Policy& policy, settings::Site& site, Time start);

    bool on() const { return policy_.on; }
    const Policy& policy() const { return policy_; }
    std::uint32_t wireClasses() const { return static_cast<std::uint32_t>(wireClasses_); }

    // Updates a server from the roster. If its zone label changes while it runs, it gets no bound jobs until
    // it has restarted: it is unknown whether the server moved or the label is wrong.
    const ServerPlacement& updateServer(Time now, std::size_t server, const std::string& name, int zone,
                                        Time start);
    const placement::ServerPlacement& placementOf(std::size_t server) const {
        static const placement::ServerPlacement kNowhere;
        return server < servers_.size() ? servers_[server] : kNowhere;
    }
    // Saves and restores the placement of servers over a restart, as one line per server; a new process would
    // trust a changed label otherwise. Restoring throws BadField on a malformed line and then changes
    // nothing.
    std::string savedPlacements() const;
    void restorePlacements(const std::string& kept);
    bool changed() { return std::exchange(changed_, false); }  // since the last call
    // Returns a bit for each class of each set that the server may run. 0 means that it must get no jobs.
    std::uint64_t classMaskOf(std::uint64_t classes, const ServerPlacement& server) const;
    int kindOf(int kind, const ServerPlacement& server) const;

    struct Ticket {  // the permitted jurisdictions of one job
        std::size_t placeSet = 0;
        const Entry* entry = nullptr;  // null: the job may run nowhere
        bool widened = false;
        Time spent{0};
        PlaceSet places() const { return widened ? entry->wide : entry->first; }
    };
    Ticket take(int tenant, std::uint32_t klass);
    std::uint32_t classIn(const Ticket& ticket, std::uint32_t klass) const;
    bool tryWiden(Time now, Ticket& ticket);  // uses up the allowance; false if not permitted
    void revertWidening(Ticket& ticket);      // undoes it for a job that was not sent outside
    // Checks a send by the placement of the server alone, independently of the dispatcher.
    bool allows(const Ticket& ticket, std::size_t server) const;
    bool isOutside(const Ticket& ticket, std::size_t server) const;  // of the first choice

    void recordStart(Time now, std::size_t server, Nanos wait);  // a job has started there
    // Counts a refusal and returns the retry delay: the recent waiting time at the first choice of places,
    // within `least` and `most`.
    Nanos recordRefusal(Time now, const Ticket& ticket, Nanos least, Nanos most);

    Counters& counters() { return counters_; }
    const Counters& counters() const { return counters_; }

private:
    struct Wait {
        double mean = 0;  // in seconds
        Time at{0};
    };
    std::size_t placeSetIndex(const PlaceSet& places);

    Policy policy_;
    std::size_t classes_, wireClasses_;
    std::vector<PlaceSet> placeSets_{PlaceSet{}};
    std::vector<ServerPlacement> servers_;
    std::map<std::string, ServerPlacement> restored_;  // of servers that are not listed yet
    bool changed_ = false;
    std::map<const Entry*, SpillLimiter> limiters_;
    std::vector<Wait> waits_;  // indexed by jurisdiction
    Counters counters_;
};

}  // namespace amberswitch::placement
