// while one core machine stands still, routes are added. Does an edge that has already run a message
// by the new version answer requests by the older one?
#include "world.hpp"

using namespace review;

namespace {

constexpr double kSlackMs = 250;  // rollbackSlackMs of the settings
constexpr int kEdges = 6;
constexpr int kServers = 3;
constexpr double kFreezeMs = 1000;
// Above the freeze and catchUpS, so that one machine at a time is lost; no multiple of the processes' own
// periods, so that the plays meet them at different moments.
constexpr double kBetweenMs = 6640;
constexpr int kKeys = 24;
constexpr int kMessagesOfKey = 3;
// Each dispatcher gets a few messages directly; the first one later than the slack after the first runs.
constexpr double kFirstDirectMs = 290;
constexpr double kBetweenDirectMs = 50;
constexpr int kDirect = 5;
constexpr double kFirstSendMs = 20;  // after the acknowledgement

std::string routeJson(const std::string& name, const std::string& prefix, bool ordered) {
    return "{\"name\":\"" + name + "\",\"hostname\":\"boye61.example\",\"pathPrefix\":\"" + prefix +
           "\",\"type\":\"deferred\",\"timeoutMs\":600,\"targetLatencyMs\":80,\"priority\":1,\"backend\":"
           "\"fleet\","
           "\"maxRetries\":3,\"ordered\":" +
           (ordered ? "true" : "false") +
           ",\"retentionS\":90.0,\"callbackUrl\":false,\"scheduleTargetMs\":800}";
}

std::string configuration(long generation, int added) {
    std::string routes = routeJson("r-first", "/first/", true);
    for (int i = 1; i <= added; ++i)
        routes += "," + routeJson("r-added-" + std::to_string(i), "/added-" + std::to_string(i) + "/", true);
    return "{\"generation\":" + std::to_string(generation) + ",\"routes\":[" + routes +
           "],\"services\":[{\"name\":\"fleet\",\"healthCheck\":\"/"
           "healthz\",\"maxConnections\":110,\"protocol\":\"h1\","
           "\"tls\":false,\"ratePerS\":0.0,\"idempotent\":false,\"pull\":false,\"static\":null}],"
           "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,"
           "\"idleTimeoutMs\":15000}}";
}

struct Effects {
    std::mutex mutex;
    std::map<std::string, double> first;  // by edge and route: when a server first saw a run of it
};

}  // namespace

int main(int count, char** arguments) {
    if (count < 5) return 2;
    const std::string program = arguments[1];
    const std::string folder = arguments[2];
    Record record(arguments[3]);
    const int plays = std::atoi(arguments[4]);
    const char* const wanted = std::getenv("TROUBLE");
    const bool trouble = wanted == nullptr || std::string(wanted) != "0";
    nowMs();

    World world(freeNet(), kEdges, folder);
    Effects effects;
    std::atomic<long> stamps{0};
    std::vector<std::unique_ptr<Server>> servers;
    std::mutex owners_mutex;
    std::map<long, std::string> owners;  // edge by connection
    for (int i = 0; i < kServers; ++i) {
        const std::string uid = "i-fleet" + std::to_string(i);
        servers.push_back(std::make_unique<Server>(
            Address{world.ip(4, i), world.ports.server}, [&, uid](const Message& request, int port) {
                const std::string id = request.header("request-id");
                if (request.start.rfind("GET ", 0) == 0)
                    return httpAnswer(200, "Instance-Id: " + uid + "\r\n", "");
                if (!request.header("expect-instance").empty() && request.header("expect-instance") != uid)
                    return httpAnswer(421, "Request-Id: " + id + "\r\nNot-Executed: 1\r\n", "");
                const double begun = nowMs();
                std::string edge;
                {
                    const std::lock_guard<std::mutex> lock(owners_mutex);
                    edge = owners[request.connection];
                }
                if (edge.empty()) {
                    const Node* const node = world.ownerOfPort(port);
                    edge = node == nullptr ? "" : node->name;
                    const std::lock_guard<std::mutex> lock(owners_mutex);
                    owners[request.connection] = edge;
                }
                const std::size_t path = request.start.find('/') + 1;
                const std::string route = request.start.substr(path, request.start.find('/', path) - path);
                {
                    const std::lock_guard<std::mutex> lock(effects.mutex);
                    const bool is_new =
                        !edge.empty() && effects.first.emplace(edge + " " + route, begun).second;
                    record.line("%s runs %s of %s for %s", uid.c_str(), id.c_str(), route.c_str(),
                                edge.c_str());
                    if (is_new)
                        record.line("server %s saw the first run of %s by %s", uid.c_str(), route.c_str(),
                                    edge.c_str());
                }
                sleepMs(8);
                return httpAnswer(200,
                                  "Request-Id: " + id + "\r\nResponse-Stamp: st" + std::to_string(++stamps) +
                                      "\r\nKeep-Alive: timeout=30\r\n",
                                  "");
            }));
        if (!servers.back()->works()) return 2;
    }
    Server platform(world.platform, [&](const Message&, int) {
        std::string list;
        for (int i = 0; i < kServers; ++i) {
            list += std::string(i > 0 ? "," : "") + "{\"backend\":\"fleet\",\"address\":\"" +
                    servers[i]->address().text() + "\",\"zone\":\"" + world.zoneOf(i) +
                    "\",\"generation\":\"v1\",\"capacity\":12,\"phase\":\"ready\","
                    "\"warmupRemainingMs\":0,\"uid\":\"i-fleet" +
                    std::to_string(i) + "\"}";
        }
        return httpAnswer(200, "Content-Type: application/json\r\n",
                          "{\"instances\":[" + list + "],\"nextPageToken\":null}");
    });
    if (!platform.works()) return 2;
    world.start(program);
    const std::vector<Node*> cores = world.of("core");
    const std::vector<Node*> edges = world.of("edge");
    long version = 1;
    if (!world.configure(cores, 0, configuration(version, 0), 15000) || !world.ready(15000)) {
        record.line("the deployment did not become ready");
        return 2;
    }
    record.line("ready; disruption: %s", trouble ? "one core machine stands still for 1 s" : "none");
    sleepMs(3000);

    int broken = 0;
    for (int play = 1; play <= plays; ++play) {
        const double begun = nowMs();
        const int frozen = play % World::kZones;
        std::vector<Node*> others;
        for (int i = 0; i < World::kZones; ++i) {
            if (i != frozen) others.push_back(cores[i]);
        }
        if (trouble) cores[frozen]->signal(SIGSTOP);
        record.line("play %d: %s %s", play, cores[frozen]->name.c_str(),
                    trouble ? "stands still" : "runs on");
        sleepMs(100);
        const bool taken = world.configure(others, version, configuration(version + 1, play), 3000);
        const double acknowledged = nowMs();
        record.line("configuration %ld with route added-%d: %s", version + 1, play,
                    taken ? "acknowledged" : "no clear answer");
        if (!taken) {
            cores[frozen]->signal(SIGCONT);
            return 2;
        }
        ++version;
        const std::string route = "added-" + std::to_string(play);
        // Ordered messages, from clients of the zones whose core machines run.
        std::vector<std::thread> clients;
        for (int key = 0; key < kKeys; ++key) {
            for (int n = 0; n < kMessagesOfKey; ++n) {
                clients.emplace_back([&, key, n] {
                    std::vector<Node*> usable;
                    for (Node* edge : edges) {
                        if (edge->zone != cores[frozen]->zone) usable.push_back(edge);
                    }
                    Node* const edge = usable[static_cast<std::size_t>(key) % usable.size()];
                    const std::string id =
                        "m" + std::to_string(play) + "-" + std::to_string(key) + "-" + std::to_string(n);
                    sleepMs(acknowledged + kFirstSendMs + n * 2 - nowMs());
                    const int status = ask({edge->ip, world.ports.front}, "POST", "/" + route + "/x",
                                           "Host: boye61.example\r\nDeadline-Ms: 500\r\nRequest-Id: " + id +
                                               "\r\nOrder-Key: k" + std::to_string(play) + "-" +
                                               std::to_string(key) + "\r\n",
                                           "status", 1000)
                                           .status();
                    record.line("%s to %s on %s: %d", id.c_str(), edge->name.c_str(), route.c_str(), status);
                });
            }
        }
        // Each dispatcher receives a few messages directly on the route that was just added.
        for (Node* edge : edges) {
            clients.emplace_back([&, edge] {
                for (int number = 1; number <= kDirect; ++number) {
                    sleepMs(acknowledged + kFirstDirectMs + (number - 1) * kBetweenDirectMs - nowMs());
                    const std::string id =
                        "d" + std::to_string(play) + "-" + edge->name + "-" + std::to_string(number);
                    const double sent = nowMs();
                    const int status = ask({edge->ip, world.ports.front}, "POST", "/" + route + "/direct",
                                           "Host: boye61.example\r\nDeadline-Ms: 500\r\nRequest-Id: " + id +
                                               "\r\nOrder-Key: " + id + "\r\n",
                                           "direct", 1000)
                                           .status();
                    double seen = -1;
                    {
                        const std::lock_guard<std::mutex> lock(effects.mutex);
                        const auto found = effects.first.find(edge->name + " " + route);
                        if (found != effects.first.end()) seen = found->second;
                    }
                    record.line("%s sent at %.1f to %s on %s: %d", id.c_str(), sent, edge->name.c_str(),
                                route.c_str(), status);
                    if (status == 404 && seen >= 0 && sent > seen + kSlackMs) {
                        ++broken;
                        record.line(
                            "BROKEN: %s answered 404 on %s to a request sent %.1f ms after a server saw its "
                            "run of that route",
                            edge->name.c_str(), route.c_str(), sent - seen);
                    }
                }
            });
        }
        sleepMs(begun + kFreezeMs - nowMs());
        if (trouble) cores[frozen]->signal(SIGCONT);
        record.line("%s runs", cores[frozen]->name.c_str());
        for (std::thread& client : clients) client.join();
        for (Node& node : world.nodes) {
            const std::string end = node.ownEnd();
            if (!end.empty()) record.line("%s ended by itself: %s", node.name.c_str(), end.c_str());
        }
        sleepMs(begun + kBetweenMs - nowMs());
    }
    record.line("%d requests were answered by an older version", broken);
    std::printf("%d requests were answered by an older version than a server had seen\n", broken);
    for (Node& node : world.nodes) node.end();
    std::fflush(nullptr);
    _exit(broken > 0 ? 1 : 0);
}
