// Membership out of Consul's answers: which job servers there are and how each stands. It does no I/O; time
// is passed in. Answers come scope by scope (one service of one datacenter); what leaves is only what has
// changed.
//
// Rules, in the words of docs/consul.md:
// - One address is one member, however many services or datacenters list it. It is gone once none does.
// - The worst listing counts: where one says that it drains, it drains.
// - Bad news counts at once. Good news of a member that flaps is held down, longer with each flap.
// - The same id at a new address, or registered anew, is a restart: the member is cold.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/deadlines.hpp"

namespace amberswitch::consul {

enum class Health { passing, warning, critical };  // maintenance is critical

struct Instance {             // one entry of an answer
    std::string id, address;  // "host:port"
    Health health = Health::passing;
    double passingWeight = 1, warningWeight = 1;
    int zone = 0, kind = 0, cell = 0;
    Time since{0};              // by its own word; 0: not told
    std::uint64_t created = 0;  // CreateIndex: grows when it is registered anew
    bool operator==(const Instance&) const = default;
};

struct Member {
    std::string name, address;
    heronmount::WorkerStatus standing = heronmount::WorkerStatus::on;
    double units = 1;
    int zone = 0, kind = 0, cell = 0;
    Time since{0};
    bool operator==(const Member&) const = default;
};

struct HoldDown {
    Nanos first = std::chrono::seconds(2), most = std::chrono::seconds(60);
    Nanos halfLife = std::chrono::seconds(60);  // of what is remembered of flaps
};

class View {
public:
    using Scope = std::string;
    using Changes = std::vector<Member>;  // as they are from now on; `off` for those that are gone

    explicit View(HoldDown hold = {}, std::size_t most = 20'000) : hold_(hold), most_(most) {}

    // The whole list of one scope. Instances over the bound are left out and counted.
    Changes answer(Time now, const Scope& scope, const std::vector<Instance>& instances);
    Changes due(Time now);             // what was held down and is not any more
    std::optional<Time> next() const;  // when due() has something to say

    // The newest answers, to be kept; answer() takes them again.
    std::map<Scope, std::vector<Instance>> listings() const;
    std::size_t members() const { return members_.size(); }
    std::size_t heldDown() const { return held_.size(); }
    std::optional<Time> heldUntil(const std::string& name) const;
    std::optional<Time> heardOf(const Scope& scope) const;

    struct Counters {
        std::uint64_t answers = 0, unchanged = 0, joined = 0, gone = 0, drained = 0, restored = 0,
                      restarts = 0, flaps = 0, held = 0, overBound = 0;
    };
    const Counters& counters() const { return counters_; }

private:
    struct State {
        Member told;
        std::set<std::string> ids;
        std::uint64_t created = 0;
        bool bad = false;  // by the newest word
        double flaps = 0;  // as of flappedAt
        Time flappedAt{0};
        std::optional<Time> heldUntil;  // good by the newest word, and not told yet
        bool operator==(const State&) const = default;
    };
    struct Listing {
        std::map<std::string, Instance> byKey;  // by id and address
        Time heard{0};
    };

    double flapsOf(const State& state, Time now) const;
    void settle(Time now, const std::string& address, Changes& out);
    void hold(const std::string& address, State& state, std::optional<Time> until);
    std::string nameFor(const Instance& first) const;

    HoldDown hold_;
    std::size_t most_, listed_ = 0;
    std::map<Scope, Listing> scopes_;
    std::map<std::string, std::map<std::pair<Scope, std::string>, Instance>> byAddress_;
    std::map<std::string, State> members_;          // by address
    std::map<std::string, std::string> addresses_;  // by name
    struct Past {  // of one that is gone: its flaps are not forgotten with it
        double flaps = 0;
        Time at{0};
        std::uint64_t created = 0;
    };
    std::map<std::string, Past> past_;  // by name, bounded like the members
    std::set<std::pair<Time, std::string>> held_;
    Counters counters_;
};

}  // namespace amberswitch::consul
