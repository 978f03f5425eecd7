#include "cluster/edge/delivery_answer.hpp"

namespace amberswitch::cluster {
namespace {

using heronmount::Outcome;

constexpr int kBadRequest = 400;
constexpr int kConflict = 409;
constexpr int kWrongInstance = 421;
constexpr int kNeverPossible = 422;
constexpr int kFailed = 500;
constexpr int kTimedOut = 504;

DeliveryAnswer ran(RunOutcome outcome, Outcome about_server) {
    DeliveryAnswer answer;
    answer.outcome = outcome;
    answer.about_server = about_server;
    return answer;
}

DeliveryAnswer notRun(Outcome about_server, bool try_elsewhere) {
    DeliveryAnswer answer;
    answer.may_have_run = false;
    answer.outcome = RunOutcome::not_run;
    answer.about_server = about_server;
    answer.try_elsewhere = try_elsewhere;
    return answer;
}

DeliveryAnswer judgeNotExecuted(int status, bool rate_limited) {
    // Another dispatcher's attempt runs now, or the request itself is at fault: no other server helps.
    if (status == kConflict) return ran(RunOutcome::unknown, Outcome::notExecuted);
    if (status == kBadRequest) return notRun(Outcome::notExecuted, false);
    if (status == kWrongInstance) return notRun(Outcome::connectFailed, !rate_limited);
    // A ceiling is no sign of a server that is full.
    return notRun(rate_limited ? Outcome::notExecuted : Outcome::full, !rate_limited);
}

DeliveryAnswer judgeResponse(const HttpResponse& response, bool rate_limited) {
    const bool not_executed = !headerValue(response.headers, "Not-Executed").empty();
    if (response.status == kWrongInstance || (response.status >= kBadRequest && not_executed)) {
        return judgeNotExecuted(response.status, rate_limited);
    }
    if (response.status >= 200 && response.status < 300) {
        const std::string stamp(headerValue(response.headers, "Response-Stamp"));
        if (stamp.empty()) return ran(RunOutcome::unknown, Outcome::error);
        DeliveryAnswer answer = ran(RunOutcome::completed, Outcome::ok);
        answer.stamp = stamp;
        return answer;
    }
    // The message is at fault; how long that took says nothing of the server.
    if (response.status == kNeverPossible) return ran(RunOutcome::rejected, Outcome::cancelled);
    if (response.status == kFailed) return ran(RunOutcome::failed, Outcome::error);
    if (response.status == kTimedOut) return ran(RunOutcome::unknown, Outcome::timeout);
    return ran(RunOutcome::unknown, Outcome::error);
}

}  // namespace

DeliveryAnswer judgeAnswer(const HttpOutcome& outcome, bool rate_limited) {
    switch (outcome.verdict) {
        case CallStatus::answered:
            return judgeResponse(outcome.response, rate_limited);
        case CallStatus::not_executed: {
            // Without a connection nothing arrived, so that a ceiling does not count it.
            DeliveryAnswer answer =
                notRun(outcome.unreachable ? Outcome::connectFailed : Outcome::notExecuted, true);
            answer.unreachable = outcome.unreachable;
            return answer;
        }
        case CallStatus::unknown:
            break;
    }
    return ran(RunOutcome::unknown, outcome.timed_out ? Outcome::timeout : Outcome::reset);
}

}  // namespace amberswitch::cluster
