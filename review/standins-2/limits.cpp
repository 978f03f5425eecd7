// A configuration raises `limits.maxBodyBytes`. Do connections that were open before take the longer requests
// once it is in force?
#include "world.hpp"

using namespace review;

namespace {

constexpr int kEdges = 4;
constexpr int kKept = 3;  // connections for each edge
constexpr double kConfigApplyMs = 3000;
constexpr double kAfterMs = 8000;  // above configApplyMs and contactMs
constexpr std::size_t kBodyBytes = 100000;

std::string configuration(int generation, int max_body) {
    return "{\"generation\":" + std::to_string(generation) +
           ",\"routes\":[{\"name\":\"r-ride\",\"hostname\":\"boye61.example\",\"pathPrefix\":\"/ride/\","
           "\"type\":\"deferred\",\"timeoutMs\":1200,\"targetLatencyMs\":80,\"priority\":2,\"backend\":"
           "\"desk\","
           "\"maxRetries\":3,\"ordered\":false,\"retentionS\":90.0,\"callbackUrl\":false,"
           "\"scheduleTargetMs\":800}],"
           "\"services\":[{\"name\":\"desk\",\"healthCheck\":\"/"
           "healthz\",\"maxConnections\":110,\"protocol\":\"h1\","
           "\"tls\":false,\"ratePerS\":0.0,\"idempotent\":false,\"pull\":false,\"static\":null}],"
           "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":" +
           std::to_string(max_body) + ",\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
}

struct Kept {
    int connection = -1;
    std::string buffer;
    const Node* edge = nullptr;
};

bool openKept(Kept& kept, const Address& to) {
    kept.connection = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const timeval limit{3, 0};
    setsockopt(kept.connection, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    const sockaddr_in address = toSocketAddress(to);
    return connect(kept.connection, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
}

int post(Kept& kept, const std::string& id, std::size_t bytes) {
    Message answer;
    const bool whole = sendAll(kept.connection,
                               "POST /ride/book HTTP/1.1\r\nHost: boye61.example\r\nDeadline-Ms: 500\r\n"
                               "Request-Id: " +
                                   id + "\r\nContent-Length: " + std::to_string(bytes) + "\r\n\r\n" +
                                   std::string(bytes, 'b')) &&
                       readMessage(kept.connection, kept.buffer, answer);
    return whole ? answer.status() : 0;
}

}  // namespace

int main(int count, char** arguments) {
    if (count < 4) return 2;
    Record record(arguments[3]);
    const char* const wanted = std::getenv("TROUBLE");
    const bool trouble = wanted == nullptr || std::string(wanted) != "0";
    nowMs();
    World world(freeNet(), kEdges, arguments[2]);
    Server server(Address{world.ip(4, 0), world.ports.server}, [&](const Message& request, int) {
        static std::atomic<long> stamps{0};
        if (request.start.rfind("GET ", 0) == 0) return httpAnswer(200, "Instance-Id: i-desk0\r\n", "");
        record.line("i-desk0 runs %s", request.header("request-id").c_str());
        return httpAnswer(200,
                          "Request-Id: " + request.header("request-id") + "\r\nResponse-Stamp: st" +
                              std::to_string(++stamps) + "\r\n",
                          "");
    });
    Server platform(world.platform, [&](const Message&, int) {
        return httpAnswer(
            200, "Content-Type: application/json\r\n",
            "{\"instances\":[{\"backend\":\"desk\",\"address\":\"" + server.address().text() +
                "\",\"zone\":\"hall-trakia\",\"generation\":\"v1\",\"capacity\":12,\"phase\":\"ready\","
                "\"warmupRemainingMs\":0,\"uid\":\"i-desk0\"}],\"nextPageToken\":null}");
    });
    if (!server.works() || !platform.works()) return 2;
    world.start(arguments[1]);
    // Without the change, the first configuration allows what the second one does.
    const int first = trouble ? 65536 : 262144;
    if (!world.configure(world.of("core"), 0, configuration(1, first), 15000) || !world.ready(15000))
        return 2;
    sleepMs(2000);
    std::vector<Kept> kept;
    for (const Node* edge : world.of("edge")) {
        for (int i = 0; i < kKept; ++i) {
            Kept made;
            made.edge = edge;
            if (!openKept(made, {edge->ip, world.ports.front})) return 2;
            kept.push_back(made);
        }
    }
    int number = 0;
    for (Kept& each : kept) {
        if (post(each, "a" + std::to_string(++number), 1000) != 202) return 2;
    }
    record.line("%zu connections have each carried a message of 1,000 bytes", kept.size());
    if (trouble && !world.configure(world.of("core"), 1, configuration(2, 262144), 5000)) return 2;
    const double acknowledged = nowMs();
    record.line("%s",
                trouble ? "version 2 with maxBodyBytes 262144 is acknowledged (before: 65536)" : "no change");
    // Every second a message, so that the connections are not idle.
    while (nowMs() < acknowledged + kAfterMs) {
        for (Kept& each : kept) {
            const int status = post(each, "k" + std::to_string(++number), 1000);
            record.line("k%d on a kept connection to %s: %d", number, each.edge->name.c_str(), status);
        }
        sleepMs(1000);
    }
    int broken = 0;
    for (Kept& each : kept) {
        const double sent = nowMs();
        const int status = post(each, "l" + std::to_string(++number), kBodyBytes);
        record.line("l%d, %zu bytes, %.1f ms after the acknowledgement, on a kept connection to %s: %d",
                    number, kBodyBytes, sent - acknowledged, each.edge->name.c_str(), status);
        if (status == 413 && sent > acknowledged + kConfigApplyMs) ++broken;
        Kept fresh;
        if (!openKept(fresh, {each.edge->ip, world.ports.front})) return 2;
        const int other = post(fresh, "f" + std::to_string(number), kBodyBytes);
        record.line("f%d, %zu bytes on a new connection to %s: %d", number, kBodyBytes,
                    each.edge->name.c_str(), other);
        close(fresh.connection);
    }
    record.line("%d of %zu kept connections refuse what the newest version allows", broken, kept.size());
    std::printf("%d of %zu kept connections refuse what the newest version allows\n", broken, kept.size());
    for (Node& node : world.nodes) node.end();
    std::fflush(nullptr);
    _exit(broken > 0 ? 1 : 0);
}
