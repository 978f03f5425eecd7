// Each planted fault is found, and what is found can be replayed.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <iostream>

#include "cluster/common/injected_fault.hpp"
#include "tests/explorer/bounds.hpp"
#include "tests/explorer/lease_scenario.hpp"
#include "tests/explorer/quiet_log.hpp"
#include "tests/explorer/register_scenario.hpp"
#include "tests/explorer/voter_rules.hpp"

using namespace amberswitch::cluster;
using namespace amberswitch::cluster::explorer;

namespace {

class Planted {
public:
    explicit Planted(InjectedFault fault) {
        quietLog();
        injected_fault = fault;
    }
    ~Planted() { injected_fault = InjectedFault::none; }
};

// The fault is found within the bounds, its steps break the rule again, and without the fault they don't.
void checkFound(InjectedFault fault, const ScenarioMaker& make, const Limits& limits) {
    ExplorationResult result;
    {
        const Planted planted(fault);
        result = exploreRising(make, limits);
        REQUIRE(result.counter_example);
        std::cout << result.text() << ", " << result.counter_example->replay.deviations.size()
                  << " deviations, " << result.counter_example->steps.size() << " steps\n"
                  << result.counter_example->text() << std::endl;
        CHECK(replay(make, limits, result.counter_example->replay) == result.counter_example->broken);
    }
}

// For faults that show only where all power is lost at the right step: the depth is where an execution ends.
void checkFoundAtSomeDepth(InjectedFault fault, const ScenarioMaker& make, Limits limits) {
    const Planted planted(fault);
    for (limits.depth = 20; limits.depth <= 80; limits.depth += 2) {
        const ExplorationResult result = exploreRising(make, limits);
        if (!result.counter_example) continue;
        std::cout << result.text() << "\n" << result.counter_example->text() << std::endl;
        CHECK(replay(make, limits, result.counter_example->replay) == result.counter_example->broken);
        return;
    }
    FAIL("not found");
}

std::unique_ptr<Scenario> threeMachines() {
    return std::make_unique<RegisterScenario>(3);
}
std::unique_ptr<Scenario> leases() {
    return std::make_unique<LeaseScenario>();
}

}  // namespace

TEST_CASE("found: a voter answers before its sync") {
    checkFound(InjectedFault::answers_before_sync, threeMachines, registerLimits(2));
}
TEST_CASE("found: a voter counts a sync that failed") {
    const Limits limits = limitsOf(2, {Deviation::fail_sync, Deviation::drop});
    checkFoundAtSomeDepth(InjectedFault::failed_sync_counts, threeMachines, limits);
}
TEST_CASE("found: a voter accepts below its promise") {
    checkFound(InjectedFault::accepts_below_promise, threeMachines, registerLimits(2));
}
TEST_CASE("found: a proposer adopts the first value it is told") {
    checkFound(InjectedFault::adopts_first_value, threeMachines, registerLimits(2));
}
TEST_CASE("found: half of the voters count as a majority") {
    checkFound(InjectedFault::half_is_majority, threeMachines, registerLimits(2));
}
TEST_CASE("found: a read is answered without being written back") {
    checkFound(InjectedFault::reads_without_writing_back, threeMachines, registerLimits(2));
}
TEST_CASE("found: a machine that lost its disk votes before it has recovered") {
    const Limits limits = limitsOf(2, {Deviation::lose_disk, Deviation::drop});
    checkFoundAtSomeDepth(InjectedFault::votes_before_recovery, threeMachines, limits);
}
TEST_CASE("found: a leader counts its lease from the answer and without a margin") {
    checkFound(InjectedFault::lease_counted_from_answer, leases, leaseLimits(2));
}
TEST_CASE("found: a machine that has just started votes for a leader at once") {
    checkFound(InjectedFault::fresh_grantor_votes_at_once, leases, leaseLimits(2));
}

TEST_CASE("found: voters are changed without a majority that is there") {
    const Planted planted(InjectedFault::changes_voters_without_majority);
    std::size_t tried = 0;
    const std::string broken = brokenByNextVoters(tried);
    std::cout << tried << " sets: " << broken << std::endl;
    CHECK(broken != "");
}
