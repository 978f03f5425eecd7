// Which servers a job may go to, by where its partner's work is allowed. It chooses no server: it gives each
// arrival a regime, that is a set of places, and each server the regimes it is in. The module sees a regime
// as classes of their own, so it picks among what is allowed, and what waits for one place makes nobody
// else's door stricter. No I/O; time is passed in.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "placement/ledger.hpp"
#include "placement/policy.hpp"
#include "settings/settings.hpp"

namespace amberswitch::placement {

enum class Why { none, unknownPlace, moved, known };  // why a server stands where it does
const char* nameOf(Why why);

struct Standing {
    std::uint32_t jurisdictions = 0;  // bits, as far as they count for work that is bound to a place
    Why why = Why::none;
    Time since{0};
    int zone = -1;
    Time start{0};  // the server's own
    std::string name;
};

struct Counters {
    std::uint64_t bound = 0, spilled = 0, returned = 0, nothingLeft = 0, forWantOfHome = 0, nowhere = 0;
    std::uint64_t moved = 0, unknownPlace = 0;
};

class Placement {
public:
    // Adds the regimes' classes and kinds to the site. Throws BadField if there are too many.
    Placement(const Policy& policy, settings::Site& site, Time start);

    bool on() const { return policy_.on; }
    const Policy& policy() const { return policy_; }
    std::uint32_t wireClasses() const { return static_cast<std::uint32_t>(wireClasses_); }

    // From the farm: the label that was told. A label that is another one than before counts for nothing
    // bound until the server has started anew: it may be the hardware that is elsewhere, or the label.
    const Standing& listed(Time now, std::size_t server, const std::string& name, int zone, Time start);
    const placement::Standing& standing(std::size_t server) const {
        static const placement::Standing kNowhere;
        return server < standings_.size() ? standings_[server] : kNowhere;
    }
    // What a process that comes after has to know: it would take the newer label for the only one. A line a
    // server. What can't be read throws BadField, and nothing of it is taken.
    std::string standings() const;
    void recall(const std::string& kept);
    bool changed() { return std::exchange(changed_, false); }  // since last asked
    // A bit for each class of each regime that such a server may take. 0: none, it must get nothing.
    std::uint64_t widen(std::uint64_t classes, const Standing& standing) const;
    int kindOf(int kind, const Standing& standing) const;

    struct Ticket {  // where one job may go, as long as it lives
        std::size_t regime = 0;
        const Entry* entry = nullptr;  // none: it may go nowhere
        bool widened = false;
        Time spent{0};
        Reach reach() const { return widened ? entry->wide : entry->first; }
    };
    Ticket take(int tenant, std::uint32_t klass);
    std::uint32_t classIn(const Ticket& ticket, std::uint32_t klass) const;
    bool widens(Time now, Ticket& ticket);  // out of the allowance
    void returned(Ticket& ticket);          // it went nowhere else after all
    // The core's own check of a send, by the books of `listed` alone.
    bool allows(const Ticket& ticket, std::size_t server) const;
    bool outside(const Ticket& ticket, std::size_t server) const;  // of where it goes first

    void began(Time now, std::size_t server, Nanos wait);  // a job there has begun
    // Counts it by its reason; the time to come back is what work waits there, from `least` to `most`.
    Nanos refused(Time now, const Ticket& ticket, Nanos least, Nanos most);

    Counters& counters() { return counters_; }
    const Counters& counters() const { return counters_; }

private:
    struct Wait {
        double mean = 0;  // seconds
        Time at{0};
    };
    std::size_t regimeOf(const Reach& reach);

    Policy policy_;
    std::size_t classes_, wireClasses_;
    std::vector<Reach> regimes_{Reach{}};
    std::vector<Standing> standings_;
    std::map<std::string, Standing> recalled_;  // of servers that were not listed yet
    bool changed_ = false;
    std::map<const Entry*, Ledger> ledgers_;
    std::vector<Wait> waits_;  // by jurisdiction
    Counters counters_;
};

}  // namespace amberswitch::placement
