#include "cluster/control/configuration_reader.hpp"

#include <algorithm>
#include <memory>
#include <utility>

#include "cluster/common/typed_call.hpp"
#include "cluster/control/operator_responses.hpp"
#include "cluster/control/register_values.hpp"

namespace amberswitch::cluster {
namespace {

constexpr Millis kRoundTimeout{1500};
constexpr Millis kReadTimeout{1700};
constexpr Millis kCallTimeout{800};

ReadConfigurationReply toReply(const ChangeOutcome& outcome) {
    if (!outcome.known) return {ConfigurationReadStatus::not_known, {}};
    std::optional<ConfigurationState> state = readConfigurationState(outcome.value);
    if (!state) return {ConfigurationReadStatus::unreadable, {}};
    if (state->generation == 0) return {ConfigurationReadStatus::none_yet, {}};
    return {ConfigurationReadStatus::newest, std::move(state->body)};
}

}  // namespace

void readConfiguration(RegisterProposer& proposer, std::function<void(ReadConfigurationReply)> done) {
    const auto keep = [](const std::string&) { return Decision::keep(); };
    const auto on_outcome = [done = std::move(done)](const ChangeOutcome& outcome) {
        done(toReply(outcome));
    };
    proposer.change(kConfigKey, keep, ChangeOptions{.timeout = kRoundTimeout}, on_outcome);
}

HttpResponse toHttpResponse(ReadConfigurationReply reply) {
    switch (reply.status) {
        case ConfigurationReadStatus::newest:
            return jsonResponse(std::move(reply.body));
        case ConfigurationReadStatus::none_yet:
            return textResponse(404, "no configuration has been taken yet");
        case ConfigurationReadStatus::unreadable:
            return unreadableValueResponse("configuration");
        case ConfigurationReadStatus::not_known:
            break;
    }
    return unknownOutcomeResponse();
}

ConfigurationReader::ConfigurationReader(Scheduler& scheduler, Transport& transport, std::string self,
                                         std::function<std::vector<NodeAddress>()> core)
    : scheduler_(scheduler), transport_(transport), self_(std::move(self)), core_(std::move(core)) {}

void ConfigurationReader::read(HttpResponder respond) {
    Search search{core_(), scheduler_.now() + kReadTimeout, std::move(respond)};
    std::reverse(search.remaining.begin(), search.remaining.end());
    askNext(std::move(search));
}

void ConfigurationReader::askNext(Search search) {
    const auto time_left = std::chrono::floor<Millis>(search.deadline - scheduler_.now());
    if (search.remaining.empty() || time_left <= Millis(0)) return search.respond(unknownOutcomeResponse());
    const NodeAddress core = search.remaining.back();
    search.remaining.pop_back();
    const auto shared = std::make_shared<Search>(std::move(search));
    const auto done = [this, shared](std::optional<ReadConfigurationReply> reply) {
        const bool is_known = reply && reply->status != ConfigurationReadStatus::not_known;
        if (is_known) return shared->respond(toHttpResponse(std::move(*reply)));
        askNext(std::move(*shared));
    };
    callFor<ReadConfigurationReply>(transport_, core, MessageKind::read_configuration,
                                    ReadConfigurationRequest{self_}, std::min(time_left, kCallTimeout),
                                    lifetime_.guard(done));
}

}  // namespace amberswitch::cluster
