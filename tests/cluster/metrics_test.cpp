// Tests of the metrics of a process: their text format, the metrics server, and the HTTP client's counters of
// rejected responses.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "cluster/common/invariant.hpp"
#include "cluster/common/metrics_server.hpp"
#include "cluster/common/metrics_text.hpp"
#include "tests/cluster/http_fixtures.hpp"

namespace amberswitch::cluster {

using testing::closedAddress;
using testing::HttpClientFixture;
using testing::HttpOutcomeRecorder;
using testing::okResponse;
using testing::RawServer;
using testing::runUntil;

TEST_CASE("metrics are written one per line, each with the prefix") {
    MetricsText text("part_");
    text.add("calls", 3);
    text.add("failures", 0);
    CHECK(text.take() == "part_calls 3\npart_failures 0\n");
    CHECK(text.take().empty());
}

TEST_CASE("a violated invariant is counted and reported") {
    CHECK(checkInvariant(Invariant::grants_are_open, true, "holds"));
    CHECK(totalInvariantViolations() == 0);
    CHECK_FALSE(checkInvariant(Invariant::grants_are_open, false, "planted by a test"));
    CHECK(violationsOf(Invariant::grants_are_open) == 1);
    CHECK(violationsOf(Invariant::own_answer_is_taken) == 0);
    CHECK(invariantMetricsText().find("invariant_violations_grants_are_open 1\n") != std::string::npos);
    resetInvariantViolations();
    CHECK(totalInvariantViolations() == 0);
}

TEST_CASE("a metrics server returns the current metrics") {
    EventLoop loop;
    const NodeAddress address = closedAddress();
    int asked = 0;
    const MetricsServer server(loop, address, [&asked] { return "asked " + std::to_string(++asked) + "\n"; });
    EvhttpClient client(loop);
    for (const std::string expected : {"asked 1\n", "asked 2\n"}) {
        HttpOutcomeRecorder outcome;
        HttpCall call;
        call.to = address;
        call.request = {"GET", "/metrics", {{"Host", "h"}}, ""};
        client.send(call, outcome.callback());
        REQUIRE(runUntil(loop, [&] { return outcome.completions > 0; }));
        REQUIRE(outcome.result.verdict == CallStatus::answered);
        CHECK(outcome.result.response.status == 200);
        CHECK(outcome.result.response.body == expected);
    }
}

TEST_CASE("an address in use disables the metrics server without an exception") {
    EventLoop loop;
    const RawServer other(loop);
    CHECK_NOTHROW(MetricsServer(loop, other.address, [] { return std::string(); }));
    CHECK_NOTHROW(MetricsServer(loop, {"127.0.0.1", 0}, [] { return std::string(); }));
}

TEST_CASE("a response with ambiguous framing is counted") {
    HttpClientFixture fixture;
    HttpOutcomeRecorder outcome;
    fixture.client.send(fixture.getWithId("mine"), outcome.callback());
    REQUIRE(fixture.waitForRequestsOn(0, 1));
    fixture.serverConnection(0).send(
        okResponse("done", "Request-Id: mine\r\nContent-Length: 4\r\n"));  // two lengths
    REQUIRE(fixture.waitForOutcome(outcome));
    CHECK(outcome.result.verdict == CallStatus::unknown);
    CHECK(fixture.client.counters().answers_without_end == 1);
    CHECK(fixture.client.counters().text().find("http_client_answers_without_end 1\n") != std::string::npos);
}

}  // namespace amberswitch::cluster
