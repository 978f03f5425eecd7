// Store processes are killed one after the other while delayed messages are accepted. Long after the last
// kill the messages fall due: does one of them run again after its success?
#include <condition_variable>
#include <set>

#include "world.hpp"

using namespace review;

namespace {

constexpr int kEdges = 4;
constexpr int kServers = 3;
constexpr int kSlots = 4;
constexpr int kQueue = 16;  // messages that a server lets wait for a slot
constexpr double kWorkMs = 30;
constexpr int kKills = 7;
constexpr double kBetweenMs =
    7100;  // above the time away and catchUpS, so that one machine at a time is lost
constexpr double kAwayMs = 1000;
constexpr double kCalmMs = 8600;    // above catchUpS and contactMs
constexpr int kBurst = 300;         // messages around each kill
constexpr double kAroundMs = 20;    // before and after it
constexpr double kDueForMs = 4000;  // all fall due within this time, more than the servers do
constexpr double kContactMs = 4000;

std::string configuration() {
    return "{\"generation\":1,\"routes\":[{\"name\":\"r-ride\",\"hostname\":\"boye61.example\","
           "\"pathPrefix\":\"/ride/\","
           "\"type\":\"deferred\",\"timeoutMs\":1200,\"targetLatencyMs\":80,\"priority\":2,\"backend\":"
           "\"desk\","
           "\"maxRetries\":3,\"ordered\":false,\"retentionS\":90.0,\"callbackUrl\":false,"
           "\"scheduleTargetMs\":800}],"
           "\"services\":[{\"name\":\"desk\",\"healthCheck\":\"/"
           "healthz\",\"maxConnections\":110,\"protocol\":\"h1\","
           "\"tls\":false,\"ratePerS\":0.0,\"idempotent\":false,\"pull\":false,\"static\":null}],"
           "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,"
           "\"idleTimeoutMs\":15000}}";
}

struct Runs {
    std::mutex mutex;
    std::map<std::string, double> success;      // by message: when its first success was answered
    std::map<long, std::string> last_answered;  // by connection
    std::set<std::string>
        read;  // messages whose sender has sent its next request on the same connection since
    std::map<std::string, int> accepted;
    int working[kServers] = {};
    int waiting[kServers] = {};
    std::condition_variable slot_free;
    long runs = 0;
    int broken = 0;
};

}  // namespace

int main(int count, char** arguments) {
    if (count < 4) return 2;
    const std::string folder = arguments[2];
    Record record(arguments[3]);
    const char* const wanted = std::getenv("TROUBLE");
    const bool trouble = wanted == nullptr || std::string(wanted) != "0";
    nowMs();
    World world(freeNet(), kEdges, folder);
    Runs runs;
    std::atomic<long> stamps{0};
    std::atomic<double> calm_from{1e18};
    std::vector<std::unique_ptr<Server>> servers;
    for (int i = 0; i < kServers; ++i) {
        const std::string uid = "i-desk" + std::to_string(i);
        servers.push_back(std::make_unique<Server>(
            Address{world.ip(4, i), world.ports.server}, [&, i, uid](const Message& request, int) {
                const std::string id = request.header("request-id");
                const std::string named = "Request-Id: " + id + "\r\n";
                if (request.start.rfind("GET ", 0) == 0)
                    return httpAnswer(200, "Instance-Id: " + uid + "\r\n", "");
                if (!request.header("expect-instance").empty() && request.header("expect-instance") != uid)
                    return httpAnswer(421, named + "Not-Executed: 1\r\n", "");
                {
                    std::unique_lock<std::mutex> lock(runs.mutex);
                    // The sender has read its last answer on this connection, as one request is in progress
                    // on each.
                    const auto last = runs.last_answered.find(request.connection);
                    if (last != runs.last_answered.end()) runs.read.insert(last->second);
                    if (runs.waiting[i] >= kQueue) return httpAnswer(503, named + "Not-Executed: 1\r\n", "");
                    ++runs.waiting[i];
                    runs.slot_free.wait(lock, [&] { return runs.working[i] < kSlots; });
                    --runs.waiting[i];
                    ++runs.working[i];
                    ++runs.runs;
                    const double begun = nowMs();
                    record.line("%s runs %s", uid.c_str(), id.c_str());
                    const auto before = runs.success.find(id);
                    if (before != runs.success.end()) {
                        const bool counts =
                            begun > calm_from && before->second < begun && runs.read.count(id) > 0;
                        if (counts) ++runs.broken;
                        record.line("%s: %s runs again at %s, %.1f ms after its success was answered",
                                    counts ? "BROKEN" : "repeat that does not count", id.c_str(), uid.c_str(),
                                    begun - before->second);
                    }
                }
                sleepMs(kWorkMs);
                const std::lock_guard<std::mutex> lock(runs.mutex);
                --runs.working[i];
                runs.slot_free.notify_all();
                runs.success.emplace(id, nowMs());
                runs.last_answered[request.connection] = id;
                return httpAnswer(200,
                                  named + "Response-Stamp: st" + std::to_string(++stamps) +
                                      "\r\nKeep-Alive: timeout=30\r\n",
                                  "");
            }));
        if (!servers.back()->works()) return 2;
    }
    Server platform(world.platform, [&](const Message&, int) {
        std::string list;
        for (int i = 0; i < kServers; ++i) {
            list += std::string(i > 0 ? "," : "") + "{\"backend\":\"desk\",\"address\":\"" +
                    servers[i]->address().text() + "\",\"zone\":\"" + world.zoneOf(i) +
                    "\",\"generation\":\"v1\",\"capacity\":" + std::to_string(kSlots) +
                    ",\"phase\":\"ready\",\"warmupRemainingMs\":0,\"uid\":\"i-desk" + std::to_string(i) +
                    "\"}";
        }
        return httpAnswer(200, "Content-Type: application/json\r\n",
                          "{\"instances\":[" + list + "],\"nextPageToken\":null}");
    });
    if (!platform.works()) return 2;
    world.start(arguments[1]);
    const std::vector<Node*> stores = world.of("store");
    const std::vector<Node*> edges = world.of("edge");
    if (!world.configure(world.of("core"), 0, configuration(), 15000) || !world.ready(15000)) {
        record.line("the deployment did not become ready");
        return 2;
    }
    sleepMs(3000);
    const double begin = nowMs() + 200;
    const double last_back = begin + (kKills - 1) * kBetweenMs + kAwayMs;
    const double due_from = last_back + kCalmMs;
    record.line("ready; disruption: %s", trouble ? "a store process is killed, one after the other" : "none");
    std::vector<std::thread> clients;
    std::atomic<int> accepted{0};
    const int per_kill = kBurst;
    for (int k = 0; k < kKills; ++k) {
        const double kill_at = begin + k * kBetweenMs;
        Node* const store = stores[static_cast<std::size_t>(k) % stores.size()];
        for (int n = 0; n < per_kill; ++n) {
            const double at = kill_at - kAroundMs + n * 2 * kAroundMs / kBurst;
            clients.emplace_back([&, k, n, at] {
                sleepMs(at - nowMs());
                const std::string id = "m" + std::to_string(k) + "x" + std::to_string(n);
                const long delay = static_cast<long>(due_from + (n % 97) * kDueForMs / 97 - nowMs());
                Node* const edge = edges[static_cast<std::size_t>(n) % edges.size()];
                const double sent = nowMs();
                const int status = ask({edge->ip, world.ports.front}, "POST", "/ride/book",
                                       "Host: boye61.example\r\nDeadline-Ms: 500\r\nRequest-Id: " + id +
                                           "\r\nDelay-Ms: " + std::to_string(delay) + "\r\n",
                                       std::string(5000, 'r'), 2000)
                                       .status();
                if (status == 202) ++accepted;
                record.line("%s sent at %.1f to %s, Delay-Ms %ld: %d", id.c_str(), sent, edge->name.c_str(),
                            delay, status);
            });
        }
        sleepMs(kill_at - nowMs());
        if (trouble) {
            store->end();
            record.line("%s is killed", store->name.c_str());
        }
        sleepMs(kill_at + kAwayMs - nowMs());
        if (trouble) {
            world.writeSettings(*store, false);
            store->start(arguments[1], folder + "/" + store->name + ".log");
            record.line("%s is back", store->name.c_str());
        }
        for (std::thread& client : clients) client.join();
        clients.clear();
        sleepMs(kill_at + kBetweenMs - 200 - nowMs());
    }
    calm_from = last_back + kContactMs;
    sleepMs(due_from + kDueForMs + 14000 - nowMs());
    for (Node& node : world.nodes) {
        const std::string end = node.ownEnd();
        if (!end.empty()) record.line("%s ended by itself: %s", node.name.c_str(), end.c_str());
    }
    const std::lock_guard<std::mutex> lock(runs.mutex);
    record.line("%d accepted, %ld runs, %zu messages succeeded, %d ran again in the calm", accepted.load(),
                runs.runs, runs.success.size(), runs.broken);
    std::printf(
        "%d accepted, %ld runs, %zu succeeded, %d ran again after a success, with no disruption for over "
        "%.0f ms\n",
        accepted.load(), runs.runs, runs.success.size(), runs.broken, kContactMs);
    for (Node& node : world.nodes) node.end();
    std::fflush(nullptr);
    _exit(runs.broken > 0 ? 1 : 0);
}
