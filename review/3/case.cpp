// ORDER: a configuration adds a longer route in front of an ordered one while its messages are under way.
#include "../common/world.hpp"

using namespace review;

int main() {
    Plan plan;
    World world("review/3/record.txt", plan);
    Runs runs;
    std::vector<std::unique_ptr<Server>> servers;
    const char* zones[] = {"hall-trakia", "hall-maritsa", "hall-tepe"};
    for (int i = 0; i < 3; ++i) {
        Instance instance{"fleet-board", "i-" + std::to_string(i), world.ip(4, i), zones[i], 8080, 4, "ready"};
        world.list(instance);
        servers.push_back(std::make_unique<Server>(world, runs, instance, [](const std::string&, std::size_t, const Message&) {
            return Server::Reply{200, 200, false};
        }));
    }
    world.startAll();
    const std::string head = R"({"generation":)";
    const auto route = [](const std::string& name, const std::string& prefix, const std::string& backend, bool ordered) {
        return R"({"name":")" + name + R"(","hostname":"board.example","pathPrefix":")" + prefix +
               R"(","type":"deferred","timeoutMs":600,"targetLatencyMs":80,"priority":1,"backend":")" + backend +
               R"(","maxRetries":3,"ordered":)" + (ordered ? "true" : "false") +
               R"(,"retentionS":90.0,"callbackUrl":false,"scheduleTargetMs":800})";
    };
    const std::string tail =
        R"(],"services":[{"name":"fleet-board","healthCheck":"/healthz","maxConnections":110,"protocol":"h1","tls":false,)"
        R"("ratePerS":0.0,"idempotent":true,"pull":false,"static":null}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,)"
        R"("headerTimeoutMs":3000,"idleTimeoutMs":15000}})";
    const std::string board = route("r-board", "/board/", "fleet-board", true);
    const std::string cabs = route("r-cabs", "/board/cabs/", "fleet-board", true);
    const std::string other = route("r-other", "/other/", "fleet-board", true);
    if (world.configure(0, head + "1" + R"(,"routes":[)" + board + tail) != 200 || !world.waitReady()) return 2;
    sleepMs(1500);

    // Traffic: 48 messages a second about 12 cabs, all on one host and path, for 20 s.
    struct Sent {
        std::string key;
        double sent = 0, accepted = 0;
        int status = 0;
    };
    const double start = nowMs();
    std::mutex mutex;
    std::map<std::string, Sent> messages;
    std::atomic<int> number{0};
    const std::vector<Node*> edges = world.all("edge");
    std::vector<std::thread> clients;
    for (int c = 0; c < 12; ++c) {
        clients.emplace_back([&, c] {
            std::mt19937_64 random(static_cast<unsigned>(c));
            std::exponential_distribution<double> pause(4.0 / 1000.0);
            double next = nowMs();
            while (true) {
                next += pause(random);
                if (next > start + 20'000) return;
                sleepUntilMs(next);
                const std::string id = "u" + std::to_string(number++);
                const std::string key = "cab" + std::to_string(c);
                Sent message{key, nowMs(), 0, 0};
                const Answer answer = ask(edges[random() % edges.size()]->ip(), kFrontPort, "POST", "/board/cabs/status",
                                          "Host: board.example\r\nDeadline-Ms: 500\r\nRequest-Id: " + id + "\r\nOrder-Key: " + key + "\r\n",
                                          "{\"free\":true}", 1500);
                message.accepted = nowMs();
                message.status = answer.status();
                world.record.line("client: %s key=%s sent %.1f -> %d", id.c_str(), key.c_str(), message.sent, message.status);
                const std::lock_guard lock(mutex);
                messages[id] = message;
            }
        });
    }
    // The disruption: at 10 s a new version adds a route. Without it, the new route lies beside the traffic.
    sleepUntilMs(start + 10'000);
    const int status = world.configure(1, head + "2" + R"(,"routes":[)" + board + "," + (withTrouble() ? cabs : other) + tail);
    for (std::thread& client : clients) client.join();
    sleepUntilMs(start + 26'000);
    if (status != 200) return 2;

    // The first begin of a message, and its end by the rule: the first success (there is no 422, and no 500).
    struct Seen {
        double began = 0, ended = 0;
        std::string server;
    };
    std::map<std::string, Seen> seen;
    for (const auto& [id, all] : runs.copy()) {
        Seen& each = seen[id];
        for (const Run& run : all) {
            if (each.began == 0) each.began = run.began, each.server = run.server;
            if (run.status == 200 && (each.ended == 0 || run.answered < each.ended)) each.ended = run.answered;
        }
    }
    int accepted = 0, broken = 0, never = 0;
    for (const auto& [id, message] : messages) {
        if (message.status != 202) continue;
        ++accepted;
        if (seen[id].ended == 0) ++never;
    }
    for (const auto& [id, message] : messages) {
        if (message.status != 202 || seen[id].began == 0) continue;
        for (const auto& [earlier_id, earlier] : messages) {
            if (earlier.status != 202 || earlier.key != message.key || earlier.accepted >= message.sent) continue;
            const Seen& first = seen[earlier_id];
            if (first.ended != 0 && first.ended <= seen[id].began) continue;
            ++broken;
            world.record.line("ORDER: %s of %s (sent %.1f) began at %.1f; %s, accepted at %.1f, began at %.1f and ended at %.1f", id.c_str(),
                              message.key.c_str(), message.sent, seen[id].began, earlier_id.c_str(), earlier.accepted, first.began,
                              first.ended);
        }
    }
    world.record.line("accepted %d, accepted and not ended %d, pairs out of order %d", accepted, never, broken);
    std::printf("accepted %d, not ended %d, pairs out of order %d\n", accepted, never, broken);
    std::fflush(stdout);
    world.end();
    std::_Exit(broken > 0 ? 1 : 0);
}
