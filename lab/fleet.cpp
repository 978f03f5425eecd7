#include "lab/fleet.hpp"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstring>
#include <filesystem>
#include <fstream>

extern char** environ;

namespace amberswitch::lab {

namespace files = std::filesystem;

Fleet::Fleet(World& world, std::string program, std::string folder, unsigned block, Configure configure)
    : world_(world),
      program_(files::absolute(program)),
      folder_(files::absolute(folder)),
      configure_(std::move(configure)),
      nodes_(world.script.dispatchers) {
    for (std::size_t n = 0; n < nodes_.size(); ++n) {
        Node& node = nodes_[n];
        node.folder = folder_ + "/n" + std::to_string(n);
        files::create_directories(node.folder + "/tmp");
        // An address of its own, so that a port found free here is nobody else's a moment later.
        const auto host = net::asio::ip::address_v4(0x7f000000u + (block % 200 + 16) * 65536u +
                                                    static_cast<unsigned>(n / 250 * 256 + n % 250 + 1));
        net::tcp::acceptor probe(world_.loop.io(), {host, 0});
        node.listen = probe.local_endpoint();
    }
}

Fleet::~Fleet() {
    endAll(SIGKILL);
    for (Node& node : nodes_)
        if (node.pid > 0) ::waitpid(node.pid, nullptr, 0);
}

std::string Fleet::settings(int dispatcher) const {
    const Script& script = world_.script;
    std::string zones;
    for (std::size_t z = 0; z < script.servers.zones; ++z)
        zones += (z ? ",\"z" : "\"z") + std::to_string(z) + '"';
    const auto nanos = [](Nanos value) { return std::to_string(value.count()); };
    return R"({"allowed":{"cancelling":true,"connectTimeout":250000000,"idleClose":5000000000,"maxAttempts":3,)"
           R"("maxRetryAfter":2000000000,"mayDuplicate":false,"probing":true,"retryAfter":true},)"
           R"("classes":[{"credit":1.0,"effect":")" +
           script.clients.effect + R"(","giveUp":)" + nanos(script.clients.giveUp) +
           R"(,"goalTime":400000000,"group":"all","name":"job"}],)"
           R"("customers":[{"name":"one","portion":1,"quotaPerS":100000.0})" +
           (script.clients.homeShare > 0 ? R"(,{"name":"home","portion":1,"quotaPerS":100000.0})" : "") +
           R"(],"discovery":")" + (script.list.ask ? "ask" : "push") +
           R"(","familyInfo":{"classKind":[-1],"progress":1000000000,"tellsStart":true},"fleetSize":)" +
           std::to_string(script.dispatchers) + R"(,"machineTypes":["std"],"me":)" +
           std::to_string(dispatcher) + R"(,"rules":{"askWithin":10000000000,"cold":)" +
           nanos(script.servers.cold.count() ? script.servers.cold : std::chrono::seconds(1)) +
           R"(,"coldFrom":)" + std::to_string(script.servers.coldFrom) + R"(,"fallMultiple":)" +
           std::to_string(script.servers.fallMultiple) + R"(,"overloadFor":1000000000,"stopSendingWithin":)" +
           nanos(script.list.drain) +
           R"(},"tick":4000000,"weights":"nominal",)"
           R"("zone":)" +
           std::to_string(static_cast<std::size_t>(dispatcher) % script.servers.zones) + R"(,"zones":[)" +
           zones + "]}";
}

void Fleet::configure(int dispatcher) {
    const Node& node = nodes_[static_cast<std::size_t>(dispatcher)];
    const Configured told = configure_(dispatcher);
    std::ofstream(node.folder + "/config.json")
        << "{\"name\":\"n" << dispatcher << "\",\"listen\":\"" << node.listen.address().to_string() << ':'
        << node.listen.port() << "\",\"discovery\":\"" << told.discovery
        << "\",\"seed\":" << world_.script.seed * 1000 + static_cast<std::uint64_t>(dispatcher)
        << ",\"limits\":{\"sockets\":1024,\"memory_mb\":64},"
        << (told.known.empty() ? "" : "\"known\":" + told.known + ",")
        << "\"settings\":" << settings(dispatcher) << "}\n";
    std::string own = world_.script.own;  // FOLDER in it is the process's own
    for (std::size_t at = 0; (at = own.find("FOLDER", at)) != std::string::npos;)
        own.replace(at, 6, node.folder);
    std::ofstream(node.folder + "/operator.json") << own << '\n';
}

void Fleet::start(Time now, int dispatcher, bool emptied) {
    Node& node = nodes_[static_cast<std::size_t>(dispatcher)];
    if (node.pid > 0) return;
    if (emptied) files::remove_all(node.folder + "/tmp"), files::create_directories(node.folder + "/tmp");
    configure(dispatcher);
    std::vector<std::string> variables{"ROUTER_CONFIG=" + node.folder + "/config.json",
                                       "AMBERSWITCH_OPERATOR=" + node.folder + "/operator.json",
                                       "TMPDIR=" + node.folder + "/tmp"};
    for (char** one = environ; *one; ++one)
        if (std::strncmp(*one, "ROUTER_", 7) != 0 && std::strncmp(*one, "TMPDIR=", 7) != 0 &&
            std::strncmp(*one, "AMBERSWITCH_", 12) != 0)
            variables.emplace_back(*one);
    std::vector<char*> pointers;
    for (std::string& one : variables) pointers.push_back(one.data());
    pointers.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    ::posix_spawn_file_actions_init(&actions);
    ::posix_spawn_file_actions_addopen(&actions, 2, (node.folder + "/said.log").c_str(),
                                       O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::posix_spawn_file_actions_addopen(&actions, 0, "/dev/null", O_RDONLY, 0);
    // Guards against a process that holds the rig's sockets: whoever waits for their end would wait for it.
    ::posix_spawn_file_actions_addclosefrom_np(&actions, 3);
    char* const arguments[] = {program_.data(), nullptr};
    const int failed =
        ::posix_spawn(&node.pid, program_.c_str(), &actions, nullptr, arguments, pointers.data());
    ::posix_spawn_file_actions_destroy(&actions);
    if (failed)
        node.pid = -1, world_.books.wrong(now, "n" + std::to_string(dispatcher) + " can't be started");
    node.ours = false, ++node.starts;
}

void Fleet::signal(int dispatcher, int number) {
    Node& node = nodes_[static_cast<std::size_t>(dispatcher)];
    if (node.pid <= 0) return;
    if (number == SIGKILL || number == SIGTERM) node.ours = true;
    ::kill(node.pid, number);
}

void Fleet::reap(Time now) {
    for (std::size_t n = 0; n < nodes_.size(); ++n) {
        Node& node = nodes_[n];
        int status = 0;
        if (node.pid <= 0 || ::waitpid(node.pid, &status, WNOHANG) != node.pid) continue;
        node.pid = -1;
        if (!node.ours)
            world_.books.wrong(now, "n" + std::to_string(n) + " is gone, status " + std::to_string(status));
        if (ended) ended(now, static_cast<int>(n), node.ours);
    }
}

void Fleet::measure() {
    for (const Node& node : nodes_) {
        if (node.pid <= 0) continue;
        const std::string of = "/proc/" + std::to_string(node.pid);
        std::error_code gone;
        std::size_t open = 0;
        for (auto at = files::directory_iterator(of + "/fd", gone);
             !gone && at != files::directory_iterator(); at.increment(gone))
            ++open;
        descriptors_ = std::max(descriptors_, open);
        std::ifstream status(of + "/status");
        for (std::string line; std::getline(status, line);)
            if (line.rfind("VmHWM:", 0) == 0)
                memoryKb_ = std::max(memoryKb_, static_cast<std::size_t>(std::atoll(line.c_str() + 6)));
    }
}

void Fleet::endAll(int number) {
    for (std::size_t n = 0; n < nodes_.size(); ++n) {
        signal(static_cast<int>(n), number);
        if (nodes_[n].pid > 0) ::kill(nodes_[n].pid, SIGCONT);  // one that is stopped hears no SIGTERM
    }
}

std::size_t Fleet::count() const {
    std::size_t out = 0;
    for (const Node& node : nodes_) out += node.pid > 0;
    return out;
}

}  // namespace amberswitch::lab
