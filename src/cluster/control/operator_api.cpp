#include "cluster/control/operator_api.hpp"

#include <glog/logging.h>
#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <memory>
#include <optional>
#include <string_view>
#include <utility>

#include "cluster/common/codec.hpp"
#include "cluster/common/configuration.hpp"
#include "cluster/control/configuration_reader.hpp"
#include "cluster/control/operator_responses.hpp"
#include "cluster/control/register_values.hpp"
#include "cluster/control/store_view.hpp"

namespace amberswitch::cluster {
namespace {

constexpr Millis kReplaceTimeout{1500};
constexpr Millis kReadTimeout{1500};
constexpr const char* kConfigurationName = "configuration";
constexpr const char* kViewName = "store view";
constexpr const char* kTooLarge = "the configuration is too large";
constexpr std::string_view kReplacePath = "/Config.Replace";
constexpr std::string_view kReadPath = "/Config.Read";
constexpr std::string_view kRetireStartPath = "/Retire.Start/";
constexpr std::string_view kRetireReadPath = "/Retire.Read/";
constexpr std::string_view kStatusPath = "/status";

std::optional<std::int64_t> parseVersion(std::string_view text) {
    std::int64_t version = 0;
    const char* end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data(), end, version);
    if (text.empty() || error != std::errc() || rest != end || version < 0) return std::nullopt;
    return version;
}

HttpResponse answerOf(ReplaceVerdict verdict) {
    switch (verdict) {
        case ReplaceVerdict::taken:
            return textResponse(200, "taken");
        case ReplaceVerdict::other_base:
            return textResponse(412, "Base-Version is not the current version");
        case ReplaceVerdict::generation_too_low:
            return textResponse(400, "generation: must be above the one it builds on");
        case ReplaceVerdict::forgotten:
            return textResponse(503, "too old to tell whether it was taken; the outcome is not known");
        case ReplaceVerdict::too_large:
            return textResponse(413, kTooLarge);
        case ReplaceVerdict::unreadable:
            break;
    }
    return unreadableValueResponse(kConfigurationName);
}

// The encoded size depends only on the state, so a state rejected here can't have been written earlier.
Decision writeIfFits(const ConfigurationState& next, ReplaceVerdict& verdict) {
    std::string value = encodeConfigurationState(next);
    if (value.size() <= kMaxConfigurationValueBytes) return Decision::replaceBy(std::move(value));
    verdict = ReplaceVerdict::too_large;
    return Decision::keep();
}

}  // namespace

std::int64_t newestForgotten(const ConfigurationState& state) {
    return state.accepted_changes.empty() ? state.generation : state.accepted_changes.front().base;
}

ReplaceDecision decideReplace(const ConfigurationState& current, const AcceptedChange& change,
                              const std::string& body) {
    if (change.generation <= change.base) return {ReplaceVerdict::generation_too_low, false, {}};
    const bool known = std::find(current.accepted_changes.begin(), current.accepted_changes.end(), change) !=
                       current.accepted_changes.end();
    if (known) return {ReplaceVerdict::taken, false, {}};
    if (current.generation != change.base) {
        const bool is_forgotten = change.generation <= newestForgotten(current);
        return {is_forgotten ? ReplaceVerdict::forgotten : ReplaceVerdict::other_base, false, {}};
    }
    ReplaceDecision decision{
        ReplaceVerdict::taken, true, {change.generation, body, current.accepted_changes}};
    std::vector<AcceptedChange>& taken = decision.next.accepted_changes;
    taken.push_back(change);
    if (taken.size() > kMaxTakenChanges) taken.erase(taken.begin(), taken.end() - kMaxTakenChanges);
    return decision;
}

OperatorApi::OperatorApi(RegisterProposer& proposer, Hooks hooks)
    : proposer_(proposer), hooks_(std::move(hooks)) {}

void OperatorApi::handle(const HttpRequest& request, HttpResponder respond) {
    const std::string path = request.target.substr(0, request.target.find('?'));
    const bool is_get = request.method == "GET";
    const bool is_post = request.method == "POST";
    if (is_post && path == kReplacePath) return replaceConfiguration(request, std::move(respond));
    if (is_get && path == kReadPath) return readNewest(std::move(respond));
    if (is_get && path == kStatusPath) return respond(jsonResponse(hooks_.status()));
    if (is_post && path.starts_with(kRetireStartPath)) {
        return startRetirement(path.substr(kRetireStartPath.size()), std::move(respond));
    }
    if (is_get && path.starts_with(kRetireReadPath))
        return readRetirement(path.substr(kRetireReadPath.size()), std::move(respond));
    respond(textResponse(404, "no such call"));
}

void OperatorApi::replaceConfiguration(const HttpRequest& request, HttpResponder respond) {
    if (request.body.size() > kMaxOperatorBodyBytes) return respond(textResponse(413, kTooLarge));
    const std::optional<std::int64_t> base = parseVersion(headerValue(request.headers, "Base-Version"));
    if (!base) return respond(textResponse(400, "Base-Version: must be a whole number, 0 or more"));
    AcceptedChange change;
    try {
        change.generation = parseConfiguration(request.body).generation;
    } catch (const ConfigurationError& error) {
        LOG(INFO) << "rejected a configuration based on version " << *base << ": " << error.what();
        return respond(textResponse(400, error.what()));
    }
    change.base = *base;
    change.digest = XXH64(request.body.data(), request.body.size(), 0);
    proposeConfiguration(change, request.body, std::move(respond));
}

void OperatorApi::proposeConfiguration(const AcceptedChange& change, std::string body,
                                       HttpResponder respond) {
    const auto verdict = std::make_shared<ReplaceVerdict>(ReplaceVerdict::taken);
    const auto decide = [verdict, change, body = std::move(body)](const std::string& current) {
        const std::optional<ConfigurationState> state = readConfigurationState(current);
        const ReplaceDecision decision = state ? decideReplace(*state, change, body)
                                               : ReplaceDecision{ReplaceVerdict::unreadable, false, {}};
        *verdict = decision.verdict;
        return decision.write ? writeIfFits(decision.next, *verdict) : Decision::keep();
    };
    const auto done = [this, change, verdict, respond = std::move(respond)](const ChangeOutcome& outcome) {
        HttpResponse answer = outcome.known ? answerOf(*verdict) : unknownOutcomeResponse();
        LOG(INFO) << "configuration " << change.generation << " based on " << change.base << ": "
                  << answer.status << ' ' << answer.body;
        respond(std::move(answer));
    };
    proposer_.change(kConfigKey, decide, ChangeOptions{.timeout = kReplaceTimeout}, lifetime_.guard(done));
}

void OperatorApi::readNewest(HttpResponder respond) {
    const auto done = [respond = std::move(respond)](ReadConfigurationReply reading) {
        respond(toHttpResponse(std::move(reading)));
    };
    readConfiguration(proposer_, lifetime_.guard(done));
}

void OperatorApi::startRetirement(const std::string& node, HttpResponder respond) {
    const auto verdict = std::make_shared<RetireVerdict>(RetireVerdict::unknown_store);
    const auto readable = std::make_shared<bool>(false);
    const auto decide = [verdict, readable, node](const std::string& current) {
        std::optional<StoreView> view = readStoreView(current);
        *readable = view.has_value();
        if (!view) return Decision::keep();
        const bool was_ordered = retirePhase(*view, node) != RetirePhase::none;
        *verdict = orderRetirement(*view, node);
        const bool write = *verdict == RetireVerdict::ordered && !was_ordered;
        return write ? Decision::replaceBy(encode(*view)) : Decision::keep();
    };
    const auto done = [this, verdict, readable, node,
                       respond = std::move(respond)](const ChangeOutcome& outcome) {
        if (!outcome.known) return respond(unknownOutcomeResponse());
        if (!*readable) return respond(unreadableValueResponse(kViewName));
        if (*verdict == RetireVerdict::ordered) return respond(textResponse(200, "ordered"));
        const bool exists = *verdict == RetireVerdict::too_few_left || hooks_.is_store(node);
        if (!exists) return respond(textResponse(404, "there is no such storage machine"));
        respond(textResponse(409, "too few storage machines would be left"));
    };
    proposer_.change(kViewKey, decide, ChangeOptions{.timeout = kReplaceTimeout}, lifetime_.guard(done));
}

void OperatorApi::readRetirement(const std::string& node, HttpResponder respond) {
    const auto keep = [](const std::string&) { return Decision::keep(); };
    const auto done = [node, respond = std::move(respond)](const ChangeOutcome& outcome) {
        if (!outcome.known) return respond(unknownOutcomeResponse());
        const std::optional<StoreView> view = readStoreView(outcome.value);
        if (!view) return respond(unreadableValueResponse(kViewName));
        const RetirePhase phase = retirePhase(*view, node);
        if (phase == RetirePhase::none) return respond(textResponse(404, "no such machine is being retired"));
        respond(jsonResponse(phase == RetirePhase::completed ? R"({"phase":"completed"})"
                                                             : R"({"phase":"in_progress"})"));
    };
    proposer_.change(kViewKey, keep, ChangeOptions{.timeout = kReadTimeout}, lifetime_.guard(done));
}

}  // namespace amberswitch::cluster
