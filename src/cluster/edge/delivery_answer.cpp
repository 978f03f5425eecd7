#include "cluster/edge/delivery_answer.hpp"

namespace amberswitch::cluster {
namespace {

using heronmount::Outcome;

constexpr int kBadRequest = 400;
constexpr int kConflict = 409;
constexpr int kWrongInstance = 421;
constexpr int kUnprocessable = 422;
constexpr int kInternalError = 500;
constexpr int kGatewayTimeout = 504;

DeliveryAnswer mayHaveRunAnswer(RunOutcome outcome, Outcome server_outcome) {
    DeliveryAnswer answer;
    answer.outcome = outcome;
    answer.server_outcome = server_outcome;
    return answer;
}

DeliveryAnswer notRunAnswer(Outcome server_outcome, bool try_elsewhere) {
    DeliveryAnswer answer;
    answer.may_have_run = false;
    answer.outcome = RunOutcome::not_run;
    answer.server_outcome = server_outcome;
    answer.try_elsewhere = try_elsewhere;
    return answer;
}

DeliveryAnswer classifyNotExecuted(int status, bool rate_limited) {
    // Either another edge's attempt is running (409) or the request itself is invalid (400): another server
    // would not help.
    if (status == kConflict) return mayHaveRunAnswer(RunOutcome::unknown, Outcome::notExecuted);
    if (status == kBadRequest) return notRunAnswer(Outcome::notExecuted, false);
    if (status == kWrongInstance) return notRunAnswer(Outcome::connectFailed, !rate_limited);
    // Reaching the rate limit does not mean that the server is full.
    return notRunAnswer(rate_limited ? Outcome::notExecuted : Outcome::full, !rate_limited);
}

DeliveryAnswer classifyResponse(const HttpResponse& response, bool rate_limited) {
    const bool not_executed = !headerValue(response.headers, "Not-Executed").empty();
    if (response.status == kWrongInstance || (response.status >= kBadRequest && not_executed)) {
        return classifyNotExecuted(response.status, rate_limited);
    }
    if (response.status >= 200 && response.status < 300) {
        const std::string stamp(headerValue(response.headers, "Response-Stamp"));
        if (stamp.empty()) return mayHaveRunAnswer(RunOutcome::unknown, Outcome::error);
        DeliveryAnswer answer = mayHaveRunAnswer(RunOutcome::completed, Outcome::ok);
        answer.stamp = stamp;
        return answer;
    }
    // The message itself is rejected; the response time says nothing about the server.
    if (response.status == kUnprocessable) return mayHaveRunAnswer(RunOutcome::rejected, Outcome::cancelled);
    if (response.status == kInternalError) return mayHaveRunAnswer(RunOutcome::failed, Outcome::error);
    if (response.status == kGatewayTimeout) return mayHaveRunAnswer(RunOutcome::unknown, Outcome::timeout);
    return mayHaveRunAnswer(RunOutcome::unknown, Outcome::error);
}

}  // namespace

DeliveryAnswer classifyOutcome(const HttpOutcome& outcome, bool rate_limited) {
    switch (outcome.verdict) {
        case CallStatus::answered:
            return classifyResponse(outcome.response, rate_limited);
        case CallStatus::not_executed: {
            // Without a connection nothing reached the server, so the attempt does not count against a rate
            // limit.
            DeliveryAnswer answer =
                notRunAnswer(outcome.unreachable ? Outcome::connectFailed : Outcome::notExecuted, true);
            answer.unreachable = outcome.unreachable;
            return answer;
        }
        case CallStatus::unknown:
            break;
    }
    return mayHaveRunAnswer(RunOutcome::unknown, outcome.timed_out ? Outcome::timeout : Outcome::reset);
}

}  // namespace amberswitch::cluster
