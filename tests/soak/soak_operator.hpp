// The operator of a soak: changes the configuration in series, each change sent until it is acknowledged. The
// route of plain messages leads to one service or the other, a further route comes and goes on two hosts, and
// a longer route takes a part of the ordered messages and leaves it again, under two names and to two
// services.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "tests/soak/node_process.hpp"
#include "tests/soak/raw_call.hpp"

namespace amberswitch::cluster::testing {

// One configuration that was sent.
struct SentConfiguration {
    std::int64_t generation = 0;
    std::string plain_service;  // where the route of plain messages leads
    bool has_extra_route = false;
    std::string extra_host;
    bool has_longer_route = false;  // in front of the ordered one
    std::string longer_name;
    std::string longer_service;
    SteadyTime sent;
    std::optional<SteadyTime> acknowledged;
};

class SoakOperator {
public:
    // `core`: the address of any core machine's control port.
    SoakOperator(EventLoop& loop, std::uint64_t seed, std::function<NodeAddress()> core)
        : loop_(loop), random_(seed), core_(std::move(core)) {}

    // Draws the next change; the one before must be acknowledged.
    void change() {
        SentConfiguration& next = sent.emplace_back();
        next.generation = static_cast<std::int64_t>(sent.size());
        const bool was_plain = sent.size() == 1 || sent[sent.size() - 2].plain_service != "plain";
        next.plain_service = was_plain ? "plain" : "ordered";
        next.has_extra_route = random_() % 2 == 0;
        next.extra_host = random_() % 2 == 0 ? "soak" : "other";
        next.has_longer_route = random_() % 2 == 0;
        next.longer_name = random_() % 2 == 0 ? "near" : "far";
        next.longer_service = random_() % 2 == 0 ? "plain" : "ordered";
        next.sent = loop_.now();
        post();
    }
    // Hears the answer, and sends the change again to any core machine where none came or it was not clear.
    void step() {
        if (!call_) return;
        const bool late = loop_.now() - call_->begun() > kPatience;
        if (!call_->isOver() && !late) return;
        const int status = call_->status();
        call_.reset();
        if (status == kTaken) {
            sent.back().acknowledged = loop_.now();
        } else {
            retry_at_ = loop_.now() + kPause;
        }
    }
    void retryIfDue() {
        if (!retry_at_ || loop_.now() < *retry_at_) return;
        retry_at_.reset();
        post();
    }
    bool idle() const { return !call_ && !retry_at_; }

    // Whether some configuration that may be in force at that time sends plain messages to the service: the
    // newest one acknowledged `applies` before, or one that was sent later.
    bool allows(const std::string& service, SteadyTime at, Millis applies) const {
        for (auto each = sent.rbegin(); each != sent.rend(); ++each) {
            if (each->sent > at) continue;
            if (each->plain_service == service) return true;
            if (each->acknowledged && *each->acknowledged + applies <= at) return false;
        }
        return false;
    }

    std::vector<SentConfiguration> sent;

private:
    static constexpr Millis kPatience{1500};
    static constexpr Millis kPause{50};
    static constexpr int kTaken = 200;

    void post() {
        const SentConfiguration& change = sent.back();
        const std::string headers = "Host: operator\r\nContent-Type: application/json\r\nBase-Version: " +
                                    std::to_string(change.generation - 1) + "\r\n";
        call_ = std::make_unique<RawCall>(loop_, core_(),
                                          httpRequest("POST", "/Config.Replace", headers, bodyOf(change)));
    }
    struct RouteText {
        std::string name;
        std::string host;
        std::string prefix;
        std::string service;
        bool ordered = false;
    };
    static std::string routeJson(const RouteText& route, std::int64_t timeout_ms) {
        return R"({"name":"r-)" + route.name + R"(","hostname":")" + route.host + R"(","pathPrefix":")" +
               route.prefix + R"(","type":"deferred","timeoutMs":)" + std::to_string(timeout_ms) +
               R"(,"targetLatencyMs":200,"priority":1,"backend":")" + route.service +
               R"(","maxRetries":4,"ordered":)" + (route.ordered ? "true" : "false") +
               R"(,"retentionS":90.0,"callbackUrl":)" + (route.ordered ? "false" : "true") +
               R"(,"scheduleTargetMs":1000})";
    }
    static std::string bodyOf(const SentConfiguration& change) {
        const std::int64_t timeout_ms = 1000 + change.generation % 100;
        const auto service = [](const std::string& name) {
            return R"({"name":")" + name +
                   R"(","healthCheck":"/healthz","maxConnections":96,"protocol":"h1",)" +
                   R"("tls":false,"ratePerS":0.0,"idempotent":false,"pull":false,"static":null})";
        };
        std::vector<RouteText> routes{{"plain", "soak", "/plain/", change.plain_service, false},
                                      {"ordered", "soak", "/ordered/", "ordered", true}};
        if (change.has_extra_route)
            routes.push_back({"extra", change.extra_host, "/extra/", change.plain_service, false});
        if (change.has_longer_route)
            routes.push_back({change.longer_name, "soak", "/ordered/part/", change.longer_service, true});
        std::string routes_json;
        for (const RouteText& route : routes)
            routes_json += (routes_json.empty() ? "" : ",") + routeJson(route, timeout_ms);
        return R"({"generation":)" + std::to_string(change.generation) + R"(,"routes":[)" + routes_json +
               R"(],"services":[)" + service("plain") + "," + service("ordered") +
               R"(],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,)" +
               R"("headerTimeoutMs":3000,"idleTimeoutMs":15000}})";
    }

    EventLoop& loop_;
    std::mt19937_64 random_;
    std::function<NodeAddress()> core_;
    std::unique_ptr<RawCall> call_;
    std::optional<SteadyTime> retry_at_;
};

}  // namespace amberswitch::cluster::testing
