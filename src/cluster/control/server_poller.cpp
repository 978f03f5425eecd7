#include "cluster/control/server_poller.hpp"

#include <glog/logging.h>
#include <rapidjson/document.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <optional>
#include <tuple>
#include <utility>

#include "cluster/common/invariant.hpp"

namespace amberswitch::cluster {
namespace {

constexpr Millis kPollInterval{500};
constexpr Millis kCallTimeout{800};
constexpr Millis kMinBackoff{125};
constexpr Millis kMaxBackoff{1000};
constexpr double kRateLimitShare = 0.25;  // of the rate limit of the platform API
constexpr std::size_t kMaxPages = 1000;
constexpr int kOk = 200;

// Throws std::invalid_argument.
NodeAddress parseAddress(const std::string& text) {
    const std::size_t colon = text.rfind(':');
    NodeAddress address;
    if (colon == std::string::npos) throw std::invalid_argument("address without a port: " + text);
    address.ip = text.substr(0, colon);
    const char* end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data() + colon + 1, end, address.port);
    if (error != std::errc() || rest != end) throw std::invalid_argument("bad port: " + text);
    return address;
}

// Throws std::invalid_argument.
const rapidjson::Value& field(const rapidjson::Value& object, const char* name) {
    const auto found = object.FindMember(name);
    if (found == object.MemberEnd()) throw std::invalid_argument(std::string("no field ") + name);
    return found->value;
}

std::string textField(const rapidjson::Value& object, const char* name) {
    const rapidjson::Value& value = field(object, name);
    if (!value.IsString()) throw std::invalid_argument(std::string("not a text: ") + name);
    return std::string(value.GetString(), value.GetStringLength());
}

double numberField(const rapidjson::Value& object, const char* name) {
    const rapidjson::Value& value = field(object, name);
    if (!value.IsNumber()) throw std::invalid_argument(std::string("not a number: ") + name);
    return value.GetDouble();
}

ServerEntry parseInstance(const rapidjson::Value& instance) {
    if (!instance.IsObject()) throw std::invalid_argument("an instance is not an object");
    ServerEntry server;
    server.uid = textField(instance, "uid");
    server.service = textField(instance, "backend");
    server.address = parseAddress(textField(instance, "address"));
    server.zone = textField(instance, "zone");
    server.capacity = static_cast<std::uint32_t>(std::max(1.0, numberField(instance, "capacity")));
    server.draining = textField(instance, "phase") != "ready";
    server.warmup_remaining_ms = std::llround(numberField(instance, "warmupRemainingMs"));
    return server;
}

InstancePage parsePage(const rapidjson::Value& page) {
    if (!page.IsObject()) throw std::invalid_argument("the page is not an object");
    const rapidjson::Value& instances = field(page, "instances");
    if (!instances.IsArray()) throw std::invalid_argument("instances is not a list");
    InstancePage parsed;
    for (const rapidjson::Value& instance : instances.GetArray())
        parsed.servers.push_back(parseInstance(instance));
    const auto token = page.FindMember("nextPageToken");
    if (token != page.MemberEnd() && !token->value.IsNull())
        parsed.next_token = textField(page, "nextPageToken");
    return parsed;
}

// The remaining warm-up time decreases by itself and does not count as a change.
bool isSameServer(const ServerEntry& left, const ServerEntry& right) {
    const auto key = [](const ServerEntry& server) {
        return std::tie(server.uid, server.service, server.address, server.zone, server.capacity,
                        server.draining);
    };
    return key(left) == key(right);
}

bool isSameList(const std::vector<ServerEntry>& left, const std::vector<ServerEntry>& right) {
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), isSameServer);
}

}  // namespace

std::optional<InstancePage> parseInstancePage(const std::string& body) {
    rapidjson::Document document;
    document.Parse(body.data(), body.size());
    if (document.HasParseError()) return std::nullopt;
    try {
        return parsePage(document);
    } catch (const std::invalid_argument& error) {
        LOG_EVERY_N(WARNING, 100) << "invalid page of the server list: " << error.what();
        return std::nullopt;
    }
}

std::string percentEncode(std::string_view text) {
    constexpr std::string_view kHex = "0123456789ABCDEF";
    constexpr std::string_view kPlain = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";
    std::string encoded;
    for (const char character : text) {
        if (kPlain.find(character) != std::string_view::npos) {
            encoded += character;
            continue;
        }
        const auto byte = static_cast<unsigned char>(character);
        encoded += {'%', kHex[byte >> 4], kHex[byte & 15]};
    }
    return encoded;
}

ServerPoller::ServerPoller(Scheduler& scheduler, HttpClient& http, CloudSettings cloud, Hooks hooks)
    : scheduler_(scheduler), http_(http), cloud_(std::move(cloud)), hooks_(std::move(hooks)) {}

void ServerPoller::start(std::uint64_t term) {
    term_ = term;
    published_count_ = 0;
    backoff_ = Millis(0);
    startPoll();
}

void ServerPoller::startPoll() {
    ++poll_serial_;
    pages_read_ = 0;
    servers_.clear();
    if (hooks_.may_poll()) readPage({});
}

void ServerPoller::readPage(const std::string& token) {
    HttpCall call;
    call.to = cloud_.address;
    call.request.method = "GET";
    call.request.target = token.empty() ? "/instances" : "/instances?pageToken=" + percentEncode(token);
    call.request.headers.push_back({"Host", cloud_.address.text()});
    call.timeout = kCallTimeout;
    ++pages_read_;
    http_.send(std::move(call), lifetime_.guard([this, poll = poll_serial_](const HttpOutcome& outcome) {
        onPage(poll, outcome);
    }));
}

void ServerPoller::onPage(std::uint64_t poll, const HttpOutcome& outcome) {
    if (poll != poll_serial_ || !hooks_.may_poll()) return;
    if (outcome.verdict != CallStatus::answered || outcome.response.status != kOk) return onFailure();
    std::optional<InstancePage> page = parseInstancePage(outcome.response.body);
    if (!page) return onFailure();
    std::move(page->servers.begin(), page->servers.end(), std::back_inserter(servers_));
    if (page->next_token.empty()) return onListComplete();
    if (pages_read_ >= kMaxPages) return onFailure();
    readPage(page->next_token);
}

void ServerPoller::onListComplete() {
    backoff_ = Millis(0);
    std::sort(servers_.begin(), servers_.end());
    const ServerList* known = hooks_.published();
    checkInvariant(Invariant::leader_has_newest_term, known == nullptr || known->version.term <= term_,
                   "list of servers");
    if (known == nullptr || !isSameList(known->servers, servers_)) {
        ServerList list{{term_, ++published_count_}, std::move(servers_)};
        hooks_.publish(std::move(list));
    }
    const double calls_per_s = std::max(0.1, cloud_.rate_per_s * kRateLimitShare);
    const Millis affordable{std::llround(1000.0 * static_cast<double>(pages_read_) / calls_per_s)};
    schedulePoll(std::max(kPollInterval, affordable));
}

void ServerPoller::onFailure() {
    backoff_ = std::clamp(backoff_ * 2, kMinBackoff, kMaxBackoff);
    schedulePoll(backoff_);
}

void ServerPoller::schedulePoll(Millis pause) {
    timer_ = scheduler_.after(pause, [this] { startPoll(); });
}

}  // namespace amberswitch::cluster
