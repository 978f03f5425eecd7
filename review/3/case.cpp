// CONFIG: a configuration raises limits.maxBodyBytes; connections that were open before keep the old limit.
#include "../common/world.hpp"

using namespace review;

namespace {

std::string messageOf(const std::string& id, std::size_t bytes) {
    return "POST /book/x HTTP/1.1\r\nHost: rides.example\r\nDeadline-Ms: 500\r\nRequest-Id: " + id + "\r\nContent-Length: " +
           std::to_string(bytes) + "\r\n\r\n" + std::string(bytes, 'b');
}

}  // namespace

int main() {
    Plan plan;
    World world("review/3/record.txt", plan);
    Runs runs;
    std::vector<std::unique_ptr<Server>> servers;
    const char* zones[] = {"hall-trakia", "hall-maritsa", "hall-tepe"};
    for (int i = 0; i < 3; ++i) {
        Instance instance{"booking-desk", "i-" + std::to_string(i), world.ip(4, i), zones[i], 8080, 12, "ready"};
        world.list(instance);
        servers.push_back(std::make_unique<Server>(world, runs, instance, [](const std::string&, std::size_t, const Message&) {
            return Server::Reply{50, 200, false};
        }));
    }
    world.startAll();
    const auto configuration = [](int generation, int max_body) {
        return R"({"generation":)" + std::to_string(generation) +
               R"(,"routes":[{"name":"r-rides","hostname":"rides.example","pathPrefix":"/book/","type":"deferred",)"
               R"("timeoutMs":1200,"targetLatencyMs":80,"priority":2,"backend":"booking-desk","maxRetries":3,"ordered":false,)"
               R"("retentionS":90.0,"callbackUrl":false,"scheduleTargetMs":800}],"services":[{"name":"booking-desk","healthCheck":)"
               R"("/healthz","maxConnections":110,"protocol":"h1","tls":false,"ratePerS":0.0,"idempotent":false,"pull":false,)"
               R"("static":null}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":)" +
               std::to_string(max_body) + R"(,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";
    };
    // Without the disruption the limit is the same from the start.
    const int before = withTrouble() ? 65536 : 262144;
    if (world.configure(0, configuration(1, before)) != 200 || !world.waitReady()) return 2;
    sleepMs(1000);

    // Twelve clients, each with a connection that it keeps; a small message a second.
    const std::vector<Node*> edges = world.all("edge");
    std::atomic<double> acknowledged{0};
    std::atomic<int> refused{0}, taken{0}, cut{0}, fresh_taken{0};
    const double start = nowMs();
    std::vector<std::thread> clients;
    for (int c = 0; c < 12; ++c) {
        clients.emplace_back([&, c] {
            Node* const edge = edges[static_cast<std::size_t>(c) % edges.size()];
            const int fd = connectTo(edge->ip(), kFrontPort, 1000);
            Reader reader(fd);
            Message answer;
            for (int i = 0; i < 12; ++i) {
                sleepUntilMs(start + 1000.0 * i + 20.0 * c);
                const std::string id = "s" + std::to_string(c) + "n" + std::to_string(i);
                const bool got = sendAll(fd, messageOf(id, 500)) && reader.next(answer, 1500);
                world.record.line("client %d at %s, kept connection: %s of 500 bytes -> %d", c, edge->name().c_str(), id.c_str(),
                                  got ? answer.status : 0);
            }
            // Over configApplyMs (3 s) after the acknowledgement: a message that the newest version allows.
            const std::string id = "l" + std::to_string(c);
            const double sent = nowMs();
            const bool got = sendAll(fd, messageOf(id, 100'000)) && reader.next(answer, 1500);
            world.record.line("client %d at %s, kept connection: %s of 100000 bytes, sent %.1f s after the acknowledgement -> %d", c,
                              edge->name().c_str(), id.c_str(), (sent - acknowledged) / 1000, got ? answer.status : 0);
            ++(!got ? cut : answer.status == 413 ? refused : taken);
            ::close(fd);
            const Answer other = ask(edge->ip(), kFrontPort, "POST", "/book/x",
                                     "Host: rides.example\r\nDeadline-Ms: 500\r\nRequest-Id: f" + std::to_string(c) + "\r\n",
                                     std::string(100'000, 'b'), 1500);
            world.record.line("client %d at %s, new connection: f%d of 100000 bytes -> %d", c, edge->name().c_str(), c, other.status());
            fresh_taken += other.status() == 202;
        });
    }
    sleepUntilMs(start + 4'000);
    // The disruption: version 2 allows bodies of 262144 bytes.
    if (world.configure(1, configuration(2, 262144)) != 200) return 2;
    acknowledged = nowMs();
    for (std::thread& client : clients) client.join();
    world.record.line("on kept connections: %d refused with 413, %d taken, %d cut; on new ones %d of 12 taken", refused.load(),
                      taken.load(), cut.load(), fresh_taken.load());
    std::printf("on kept connections: %d refused with 413, %d taken, %d cut; on new ones %d of 12 taken\n", refused.load(),
                taken.load(), cut.load(), fresh_taken.load());
    std::fflush(stdout);
    world.end();
    std::_Exit(refused > 0 ? 1 : 0);
}
