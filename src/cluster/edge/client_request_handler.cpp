#include "cluster/edge/client_request_handler.hpp"

#include <charconv>
#include <string_view>
#include <utility>

#include "cluster/edge/callback_sender.hpp"
#include "cluster/edge/message_ref.hpp"

namespace amberswitch::cluster {
namespace {

constexpr std::size_t kMaxOpenSubmissions = 400;
constexpr std::string_view kStatePrefix = "/message/";
constexpr std::string_view kBodyPrefix = "/message-body/";
constexpr std::string_view kConfigurationPath = "/Config.Read";
constexpr PartitionId kMaxPartition = 9999;  // used to check that the id fits into a reference

std::string_view pathOf(std::string_view target) {
    return target.substr(0, target.find('?'));
}

// Parses whole milliseconds, 0 or more; returns nullopt for any other text.
std::optional<std::int64_t> parseMillis(std::string_view text) {
    std::int64_t value = 0;
    const char* const last = text.data() + text.size();
    const auto [end, error] = std::from_chars(text.data(), last, value);
    if (error != std::errc() || end != last || value < 0) return std::nullopt;
    return value;
}

std::optional<Millis> parseDeadline(const HttpRequest& request) {
    const auto millis = parseMillis(headerValue(request.headers, "Deadline-Ms"));
    if (!millis) return std::nullopt;
    return Millis(*millis);
}

// Returns nullopt if a header is invalid.
std::optional<MessageContent> parseContent(const HttpRequest& request, const Route& route,
                                           const Configuration& configuration) {
    MessageContent content;
    content.id = headerValue(request.headers, "Request-Id");
    content.service = route.service;
    content.method = request.method;
    content.host = headerValue(request.headers, "Host");
    content.target = request.target;
    content.content_type = headerValue(request.headers, "Content-Type");
    content.order_key = headerValue(request.headers, "Order-Key");
    content.ordered = route.ordered && content.hasOrderKey();
    content.config_generation = configuration.generation;
    if (content.id.empty() || !formatMessageRef(kMaxPartition, content.id)) return std::nullopt;
    if (const std::string_view delay = headerValue(request.headers, "Delay-Ms"); !delay.empty()) {
        const auto millis = parseMillis(delay);
        if (!millis) return std::nullopt;
        content.delay_ms = *millis;
    }
    if (route.callback) {
        content.callback_url = headerValue(request.headers, "Callback-Url");
        if (!content.callback_url.empty() && !parseCallbackUrl(content.callback_url)) return std::nullopt;
    }
    return content;
}

}  // namespace

void ClientRequestHandler::onConfiguration(std::shared_ptr<const Configuration> configuration) {
    configuration_ = std::move(configuration);
}

void ClientRequestHandler::handle(const HttpRequest& request, HttpResponder respond) {
    if (leaving_) {
        respond = [answer = std::move(respond)](HttpResponse response) {
            response.close = true;
            answer(std::move(response));
        };
    }
    const std::string_view path = pathOf(request.target);
    const bool get = request.method == "GET";
    if (get && path.starts_with(kStatePrefix)) {
        const MessageRef ref = parseMessageRef(path.substr(kStatePrefix.size()));
        return queries_.ask(Queries::Kind::state, ref, std::move(respond));
    }
    if (get && path.starts_with(kBodyPrefix)) {
        const MessageRef ref = parseMessageRef(path.substr(kBodyPrefix.size()));
        return queries_.ask(Queries::Kind::body, ref, std::move(respond));
    }
    if (get && path == kConfigurationPath && read_configuration_ && !hasRoute(request))
        return read_configuration_(std::move(respond));
    handleMessage(request, respond);
}

bool ClientRequestHandler::hasRoute(const HttpRequest& request) const {
    if (!configuration_) return false;
    return configuration_->match(headerValue(request.headers, "Host"), pathOf(request.target)) != nullptr;
}

void ClientRequestHandler::handleMessage(const HttpRequest& request, const HttpResponder& respond) {
    if (!configuration_) {
        ++counters_.unavailable;
        return respond(serviceUnavailable());
    }
    const Route* const route =
        configuration_->match(headerValue(request.headers, "Host"), pathOf(request.target));
    if (!route) return refuse(404, counters_.no_route, respond);
    std::optional<MessageContent> content = parseContent(request, *route, *configuration_);
    if (!content) return refuse(400, counters_.bad_request, respond);
    if (submitter_.openCount() >= kMaxOpenSubmissions) {
        ++counters_.turned_away_busy;
        return respond(serviceUnavailable());
    }
    content->body = request.body;
    submitter_.submit(std::move(*content), *route, parseDeadline(request), respond);
}

void ClientRequestHandler::refuse(int status, std::uint64_t& counter, const HttpResponder& respond) {
    ++counter;
    HttpResponse response;
    response.status = status;
    respond(std::move(response));
}

}  // namespace amberswitch::cluster
