#include "cluster/control/configuration_reader.hpp"

#include <algorithm>
#include <memory>
#include <utility>

#include "cluster/control/operator_answers.hpp"
#include "cluster/control/register_values.hpp"
#include "cluster/control/typed_call.hpp"

namespace amberswitch::cluster {
namespace {

constexpr Millis kRoundTimeout{1500};
constexpr Millis kAnswerWithin{1700};
constexpr Millis kCallTimeout{800};

ReadConfigurationReply readingOf(const ChangeOutcome& outcome) {
    if (!outcome.known) return {ConfigurationReadStatus::not_known, {}};
    std::optional<ConfigurationState> state = readConfigurationState(outcome.value);
    if (!state) return {ConfigurationReadStatus::unreadable, {}};
    if (state->generation == 0) return {ConfigurationReadStatus::none_yet, {}};
    return {ConfigurationReadStatus::newest, std::move(state->body)};
}

}  // namespace

void readConfiguration(RegisterProposer& proposer, std::function<void(ReadConfigurationReply)> done) {
    const auto keep = [](const std::string&) { return Decision::keep(); };
    const auto told = [done = std::move(done)](const ChangeOutcome& outcome) { done(readingOf(outcome)); };
    proposer.change(kConfigKey, keep, ChangeOptions{.timeout = kRoundTimeout}, told);
}

HttpResponse responseOf(ReadConfigurationReply reading) {
    switch (reading.status) {
        case ConfigurationReadStatus::newest:
            return jsonAnswer(std::move(reading.body));
        case ConfigurationReadStatus::none_yet:
            return textAnswer(404, "no configuration has been taken yet");
        case ConfigurationReadStatus::unreadable:
            return unreadableValue("configuration");
        case ConfigurationReadStatus::not_known:
            break;
    }
    return unknownOutcome();
}

ConfigurationReader::ConfigurationReader(Scheduler& scheduler, Transport& transport, std::string self,
                                         std::function<std::vector<NodeAddress>()> core)
    : scheduler_(scheduler), transport_(transport), self_(std::move(self)), core_(std::move(core)) {}

void ConfigurationReader::read(HttpResponder respond) {
    Search search{core_(), scheduler_.now() + kAnswerWithin, std::move(respond)};
    std::reverse(search.unasked.begin(), search.unasked.end());
    askNext(std::move(search));
}

void ConfigurationReader::askNext(Search search) {
    const auto left = std::chrono::floor<Millis>(search.give_up_at - scheduler_.now());
    if (search.unasked.empty() || left <= Millis(0)) return search.respond(unknownOutcome());
    const NodeAddress core = search.unasked.back();
    search.unasked.pop_back();
    const auto shared = std::make_shared<Search>(std::move(search));
    const auto done = [this, shared](std::optional<ReadConfigurationReply> reply) {
        const bool is_known = reply && reply->status != ConfigurationReadStatus::not_known;
        if (is_known) return shared->respond(responseOf(std::move(*reply)));
        askNext(std::move(*shared));
    };
    callFor<ReadConfigurationReply>(transport_, core, MessageKind::read_configuration,
                                    ReadConfigurationRequest{self_}, std::min(left, kCallTimeout),
                                    lifetime_.guard(done));
}

}  // namespace amberswitch::cluster
