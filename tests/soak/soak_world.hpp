// A deployment of real processes on loopback (three core machines, and three stores and edges or a multiple
// of that), with the platform's list, application servers, a receiver of call-backs, clients and an operator
// in this process.
#pragma once

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "cluster/common/evhttp_server.hpp"
#include "tests/soak/faulty_server.hpp"
#include "tests/soak/kept_connection.hpp"
#include "tests/soak/node_process.hpp"
#include "tests/soak/raw_call.hpp"
#include "tests/soak/soak_operator.hpp"

namespace amberswitch::cluster::testing {

inline constexpr int kCoreMachines = 3;
inline constexpr int kKeptConnections = 6;
inline constexpr int kServersOfAService = 4;
inline constexpr int kOrderKeys = 12;
inline constexpr std::uint16_t kServerPort = 8080;

struct SentMessage {
    std::string id;
    std::string order_key;
    bool delayed = false;
    SteadyTime sent;
    std::optional<SteadyTime> accepted;
    std::string reference;  // where accepted
    std::string phase;      // as told at the end
    std::string stamp;
};

class SoakWorld {
public:
    SoakWorld(std::uint64_t seed, const std::string& folder, int scale = 1)
        : changes(loop, seed,
                  [this] {
                      return NodeAddress{any("core").ip(), kControlPort};
                  }),
          random_(seed) {
        plan_.folder = folder;
        const int net = 1 + static_cast<int>(getpid() % 250);
        const auto ip = [net](int role, int number) {
            return "127." + std::to_string(net) + "." + std::to_string(role) + "." +
                   std::to_string(number + 1);
        };
        plan_.platform = {ip(9, 0), kServerPort};
        receiver_address_ = {ip(9, 1), kServerPort};
        for (int i = 0; i < kCoreMachines; ++i) plan_.core_ips.push_back(ip(1, i));
        for (int service = 0; service < 2; ++service) {
            for (int i = 0; i < kServersOfAService; ++i) addServer(service, ip(4 + service, i), seed);
        }
        platform_ = std::make_unique<EvhttpServer>(
            loop, plan_.platform,
            [this](const HttpRequest&, const HttpResponder& respond) { respond(listOfServers()); });
        receiver_ = std::make_unique<EvhttpServer>(
            loop, receiver_address_, [this](const HttpRequest& request, const HttpResponder& respond) {
                callbacks[textIn(request.body, "uid")].push_back(textIn(request.body, "stamp"));
                respond(HttpResponse{});
            });
        constexpr std::array<const char*, 3> kRoles = {"core", "store", "edge"};
        for (int role = 1; role <= 3; ++role) {
            const int count = role == 1 ? kCoreMachines : kCoreMachines * scale;
            const std::string name = kRoles.at(static_cast<std::size_t>(role - 1));
            for (int i = 0; i < count; ++i)
                nodes.push_back(std::make_unique<NodeProcess>(plan_, name, ip(role, i), i));
        }
        for (int i = 0; i < kKeptConnections; ++i) {
            kept.push_back(std::make_unique<KeptConnection>(loop, "kept" + std::to_string(i), [this] {
                return NodeAddress{any("edge").ip(), kFrontPort};
            }));
        }
    }

    EventLoop loop;
    ServerFaults faults;
    Runs runs;
    std::map<std::string, std::vector<std::string>> callbacks;  // stamps by message
    std::deque<SentMessage> messages;
    std::vector<std::unique_ptr<NodeProcess>> nodes;
    std::vector<std::unique_ptr<KeptConnection>> kept;
    SoakOperator changes;

    // Asks again and again until the answer has this status; what came last.
    std::unique_ptr<RawCall> ask(const std::string& role, std::uint16_t port, const std::string& request,
                                 int wanted, Millis limit = Millis(15'000)) {
        const SteadyTime until = loop.now() + limit;
        std::unique_ptr<RawCall> call;
        while (loop.now() < until) {
            call = std::make_unique<RawCall>(loop, NodeAddress{any(role).ip(), port}, request);
            runUntil(
                loop, [&] { return call->isOver(); }, kPatience);
            if (call->status() == wanted) return call;
            runUntil(
                loop, [] { return false; }, Millis(50));
        }
        return call;
    }
    // The first configuration, before anything is sent.
    bool configure() {
        changes.change();
        return runUntil(
            loop,
            [this] {
                changes.step();
                changes.retryIfDue();
                return changes.sent.back().acknowledged.has_value();
            },
            Millis(15'000));
    }
    bool ready() {
        for (const auto& node : nodes) {
            if (node->role() != "edge") continue;
            const NodeAddress address{node->ip(), kReadinessPort};
            const bool is_ready = runUntil(loop, [&] {
                RawCall call(loop, address, httpRequest("GET", "/ready", "Host: h\r\n"));
                runUntil(
                    loop, [&] { return call.isOver(); }, kPatience);
                return call.status() == 200;
            });
            if (!is_ready) return false;
        }
        return true;
    }

    // One message to any edge; its answer is noted by collect().
    void sendMessage() {
        SentMessage& message = messages.emplace_back();
        message.id = "m" + std::to_string(messages.size()) + "x" + std::to_string(random_() % 100000);
        const bool ordered = random_() % 3 == 0;
        std::string headers = "Host: soak\r\nDeadline-Ms: 1000\r\nRequest-Id: " + message.id + "\r\n";
        if (ordered) {
            message.order_key = "k" + std::to_string(random_() % kOrderKeys);
            headers += "Order-Key: " + message.order_key + "\r\n";
        } else {
            headers += "Callback-Url: http://" + receiver_address_.text() + "/done\r\n";
            message.delayed = random_() % 4 == 0;
            if (message.delayed) headers += "Delay-Ms: " + std::to_string(random_() % 5000) + "\r\n";
        }
        message.sent = loop.now();
        const bool in_part = ordered && random_() % 2 == 0;  // that a longer route may take
        const std::string target = in_part ? "/ordered/part/x" : ordered ? "/ordered/x" : "/plain/x";
        open_.push_back({&message, std::make_unique<RawCall>(
                                       loop, NodeAddress{any("edge").ip(), kFrontPort},
                                       httpRequest("POST", target, headers, std::string(300, 'b')))});
    }
    void collect() {
        std::erase_if(open_, [this](const OpenMessage& open) {
            if (!open.call->isOver()) return loop.now() > open.call->begun() + kPatience * 4;
            if (open.call->status() == 202) {
                open.message->accepted = loop.now();
                open.message->reference = open.call->field("Message-Ref");
            }
            return true;
        });
    }
    // Whether every accepted message has an end that a dispatcher tells.
    bool askForEnds() {
        bool all = true;
        for (SentMessage& message : messages) {
            if (!message.accepted || message.phase == "completed" || message.phase == "dead_letter") continue;
            const std::string name = message.reference.empty() ? message.id : message.reference;
            const auto answer =
                ask("edge", kFrontPort, httpRequest("GET", "/message/" + name, "Host: soak\r\n"), 200,
                    Millis(3000));
            message.phase = answer->status() == 200 ? textIn(answer->body(), "phase") : "";
            message.stamp = answer->status() == 200 ? textIn(answer->body(), "stamp") : "";
            all = all && (message.phase == "completed" || message.phase == "dead_letter");
        }
        return all;
    }

    NodeProcess& any(const std::string& role) {
        std::vector<NodeProcess*> fitting;
        for (const auto& node : nodes) {
            if (role.empty() || node->role() == role) fitting.push_back(node.get());
        }
        return *fitting[random_() % fitting.size()];
    }
    std::mt19937_64& random() { return random_; }

private:
    static constexpr Millis kPatience{1500};
    struct OpenMessage {
        SentMessage* message;
        std::unique_ptr<RawCall> call;
    };
    struct Listed {
        std::string service;
        std::string uid;
        NodeAddress address;
    };

    static std::string textIn(const std::string& json, const std::string& key) {
        const std::string wanted = "\"" + key + "\":\"";
        const std::size_t found = json.find(wanted);
        if (found == std::string::npos) return "";
        const std::size_t begin = found + wanted.size();
        return json.substr(begin, json.find('"', begin) - begin);
    }

    void addServer(int service, const std::string& ip, std::uint64_t seed) {
        const std::string uid = "i-" + std::to_string(listed_.size());
        listed_.push_back({service == 0 ? "plain" : "ordered", uid, {ip, kServerPort}});
        servers_.push_back(std::make_unique<FaultyServer>(loop, listed_.back().address,
                                                          listed_.back().service, uid, runs, faults,
                                                          seed * 100 + listed_.size()));
    }
    HttpResponse listOfServers() const {
        HttpResponse response;
        response.headers.push_back({"Content-Type", "application/json"});
        for (const Listed& server : listed_) {
            response.body += (response.body.empty() ? "{\"instances\":[" : ",");
            response.body += R"({"backend":")" + server.service + R"(","address":")" + server.address.text() +
                             R"(","zone":"zone-0","generation":"v1","capacity":8,"phase":"ready",)" +
                             R"("warmupRemainingMs":0,"uid":")" + server.uid + "\"}";
        }
        response.body += R"(],"nextPageToken":null})";
        return response;
    }
    std::mt19937_64 random_;
    SoakPlan plan_;
    NodeAddress receiver_address_;
    std::vector<Listed> listed_;
    std::vector<std::unique_ptr<FaultyServer>> servers_;
    std::unique_ptr<EvhttpServer> platform_;
    std::unique_ptr<EvhttpServer> receiver_;
    std::deque<OpenMessage> open_;
};

}  // namespace amberswitch::cluster::testing
