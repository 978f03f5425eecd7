// A small deployment on loopback addresses for the scripts of this review: the project's own processes, and
// stand-ins for the platform's list, application servers, receivers of call-backs, the operator and clients. The
// stand-ins follow ../given/kit/more/system/PROTOCOL.md; each case sets what its servers answer.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
inline const Clock::time_point kBegin = Clock::now();
// Milliseconds since the start of the script.
inline double nowMs() {
    return std::chrono::duration<double, std::milli>(Clock::now() - kBegin).count();
}
inline void sleepMs(double ms) {
    if (ms > 0) std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}
inline void sleepUntilMs(double at) {
    sleepMs(at - nowMs());
}

// record.txt: one line an event, with the milliseconds since the start.
class Record {
public:
    explicit Record(const std::string& path) : file_(path, std::ios::trunc) {}
    void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
        char text[1024];
        va_list arguments;
        va_start(arguments, format);
        std::vsnprintf(text, sizeof text, format, arguments);
        va_end(arguments);
        char stamp[32];
        std::snprintf(stamp, sizeof stamp, "%10.1f ", nowMs());
        const std::lock_guard lock(mutex_);
        file_ << stamp << text << '\n';
    }
    void flush() {
        const std::lock_guard lock(mutex_);
        file_.flush();
    }

private:
    std::mutex mutex_;
    std::ofstream file_;
};

// --- HTTP/1.1 on plain sockets -----------------------------------------------------------------------------

struct Message {
    std::string first;  // request line or status line
    std::map<std::string, std::string> fields;  // names in lower case
    std::string body;
    std::string method, target;
    int status = 0;
    std::string field(const std::string& name) const {
        const auto found = fields.find(name);
        return found == fields.end() ? std::string() : found->second;
    }
};

inline bool sendAll(int fd, const std::string& bytes) {
    std::size_t done = 0;
    while (done < bytes.size()) {
        const ssize_t sent = ::send(fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
        if (sent <= 0) return false;
        done += static_cast<std::size_t>(sent);
    }
    return true;
}

// Reads messages from one connection. `wait_ms`: how long one read may take.
class Reader {
public:
    explicit Reader(int fd) : fd_(fd) {}
    bool next(Message& message, int wait_ms) {
        const double until = nowMs() + wait_ms;
        std::size_t end = 0;
        while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
            if (!more(until)) return false;
        }
        message = Message{};
        std::istringstream head(buffer_.substr(0, end));
        buffer_.erase(0, end + 4);
        std::string line;
        std::getline(head, line);
        if (!line.empty() && line.back() == '\r') line.pop_back();
        message.first = line;
        std::istringstream words(line);
        std::string one, two;
        words >> one >> two;
        if (one.rfind("HTTP/", 0) == 0) {
            message.status = std::atoi(two.c_str());
        } else {
            message.method = one;
            message.target = two;
        }
        while (std::getline(head, line)) {
            if (!line.empty() && line.back() == '\r') line.pop_back();
            const std::size_t colon = line.find(':');
            if (colon == std::string::npos) continue;
            std::string name = line.substr(0, colon);
            for (char& letter : name) letter = static_cast<char>(std::tolower(letter));
            std::size_t begin = colon + 1;
            while (begin < line.size() && line[begin] == ' ') ++begin;
            message.fields[name] = line.substr(begin);
        }
        const std::size_t length = static_cast<std::size_t>(std::atoll(message.field("content-length").c_str()));
        while (buffer_.size() < length) {
            if (!more(until)) return false;
        }
        message.body = buffer_.substr(0, length);
        buffer_.erase(0, length);
        return true;
    }

private:
    bool more(double until) {
        pollfd wait{fd_, POLLIN, 0};
        const int left = static_cast<int>(until - nowMs());
        if (left <= 0 || ::poll(&wait, 1, left) <= 0) return false;
        char bytes[16384];
        const ssize_t got = ::recv(fd_, bytes, sizeof bytes, 0);
        if (got <= 0) return false;
        buffer_.append(bytes, static_cast<std::size_t>(got));
        return true;
    }
    int fd_;
    std::string buffer_;
};

inline sockaddr_in addressOf(const std::string& ip, int port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

inline int connectTo(const std::string& ip, int port, int wait_ms) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) return -1;
    const sockaddr_in to = addressOf(ip, port);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0 && errno != EINPROGRESS) {
        ::close(fd);
        return -1;
    }
    pollfd wait{fd, POLLOUT, 0};
    int error = 0;
    socklen_t size = sizeof error;
    if (::poll(&wait, 1, wait_ms) <= 0 || getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
        ::close(fd);
        return -1;
    }
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}

struct Answer {
    bool complete = false;
    Message message;
    int status() const { return complete ? message.status : 0; }
};

// One request on a connection of its own.
inline Answer ask(const std::string& ip, int port, const std::string& method, const std::string& target,
                  const std::string& fields, const std::string& body, int wait_ms) {
    Answer answer;
    const int fd = connectTo(ip, port, 1000);
    if (fd < 0) return answer;
    const std::string request = method + " " + target + " HTTP/1.1\r\n" + fields +
                                "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    if (sendAll(fd, request)) {
        Reader reader(fd);
        answer.complete = reader.next(answer.message, wait_ms);
    }
    ::close(fd);
    return answer;
}

// Listens on one address and serves each connection on a thread of its own. `serve` gets a request and the
// descriptor, and returns whether the connection stays open.
class Listener {
public:
    using Serve = std::function<bool(int fd, const Message& request)>;
    using Closed = std::function<void(int fd)>;
    Listener(const std::string& ip, int port, Serve serve, Closed closed = {}, int idle_ms = 60'000)
        : serve_(std::move(serve)), closed_(std::move(closed)), idle_ms_(idle_ms) {
        fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const sockaddr_in at = addressOf(ip, port);
        if (::bind(fd_, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 || ::listen(fd_, 512) != 0) {
            std::fprintf(stderr, "cannot listen on %s:%d: %s\n", ip.c_str(), port, std::strerror(errno));
            std::_Exit(2);
        }
        std::thread([this] { run(); }).detach();
    }

private:
    void run() {
        while (true) {
            const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) continue;
            const int on = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread([this, fd] {
                Reader reader(fd);
                Message request;
                while (reader.next(request, idle_ms_) && serve_(fd, request)) {}
                if (closed_) closed_(fd);
                ::close(fd);
            }).detach();
        }
    }
    Serve serve_;
    Closed closed_;
    int idle_ms_;
    int fd_ = -1;
};

inline std::string response(int status, const std::string& fields, const std::string& body = {}) {
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields + "Content-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
}

// --- The project's processes -------------------------------------------------------------------------------

constexpr int kControlPort = 8064;
constexpr int kReadinessPort = 8063;
constexpr int kFrontPort = 8069;

class Node {
public:
    Node(std::string folder, std::string role, int number, std::string ip, std::string zone, std::string settings)
        : role_(std::move(role)), ip_(std::move(ip)), zone_(std::move(zone)), settings_(std::move(settings)) {
        name_ = role_ + "-" + zone_ + "-" + std::to_string(number);
        base_ = folder + "/" + name_;
        std::filesystem::create_directories(base_ + ".data");
    }
    const std::string& name() const { return name_; }
    const std::string& role() const { return role_; }
    const std::string& ip() const { return ip_; }
    const std::string& zone() const { return zone_; }
    pid_t pid() const { return pid_; }
    std::string logPath() const { return base_ + ".log"; }

    void start(bool bootstrap) {
        std::ofstream file(base_ + ".yaml", std::ios::trunc);
        file << "nodeName: \"" << name_ << "\"\nrole: \"" << role_ << "\"\nip: \"" << ip_ << "\"\nzone: \"" << zone_
             << "\"\nbootstrap: " << (bootstrap ? "true" : "false") << "\n";
        if (role_ == "core") file << "serves: [\"control_plane\"]\nbindAddrs:\n  control: \"" << ip_ << ":" << kControlPort << "\"\n";
        if (role_ == "store") file << "serves: [\"storage\"]\nbindAddrs: {}\n";
        if (role_ == "edge")
            file << "serves: [\"edge\"]\nbindAddrs:\n  front: \"" << ip_ << ":" << kFrontPort << "\"\n  readiness: \"" << ip_
                 << ":" << kReadinessPort << "\"\n";
        file << "countsForQuorum: " << (role_ == "edge" ? "false" : "true") << "\n";
        file << "dataDir: " << (role_ == "edge" ? std::string("null") : "\"" + base_ + ".data\"") << "\n";
        file << settings_;
        file.close();
        const std::string variable = "AMBERSWITCH_NODE_FILE=" + base_ + ".yaml";
        const std::string program = "target/ambercluster";
        pid_ = ::fork();
        if (pid_ != 0) return;
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int log = ::open(logPath().c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(log, 1);
        dup2(log, 2);
        for (int other = 3; other < 4096; ++other) ::close(other);
        const char* path = std::getenv("PATH");
        const std::string path_variable = std::string("PATH=") + (path ? path : "/usr/bin:/bin");
        char* environment[] = {const_cast<char*>(variable.c_str()), const_cast<char*>(path_variable.c_str()), nullptr};
        // As the deploy file says.
        execle(program.c_str(), program.c_str(), role_.c_str(), "--metrics-port", "9464", nullptr, environment);
        _exit(127);
    }
    void signal(int number) const {
        if (pid_ > 0) ::kill(pid_, number);
    }
    void kill() {
        if (pid_ <= 0) return;
        ::kill(pid_, SIGKILL);
        waitpid(pid_, nullptr, 0);
        pid_ = 0;
    }
    // Whether it has ended; if so it is reaped.
    bool ended() {
        if (pid_ <= 0) return true;
        if (waitpid(pid_, nullptr, WNOHANG) != pid_) return false;
        pid_ = 0;
        return true;
    }

private:
    std::string role_, ip_, zone_, settings_, name_, base_;
    pid_t pid_ = 0;
};

struct Instance {
    std::string service, uid, ip, zone;
    int port = 8080;
    int capacity = 12;
    std::string phase = "ready";
};

struct Plan {
    int cores = 3, stores = 3, edges = 4;
    int tolerated = 1;
};

class World {
public:
    World(const std::string& record_path, const Plan& plan) : record(record_path), random(std::random_device{}()) {
        std::signal(SIGPIPE, SIG_IGN);
        const char* temporary = std::getenv("TMPDIR");
        folder_ = std::string(temporary ? temporary : "/tmp") + "/amberswitch-review-" + std::to_string(getpid());
        std::filesystem::create_directories(folder_);
        net_ = 20 + static_cast<int>(getpid() % 200);
        const char* zones[] = {"hall-trakia", "hall-maritsa", "hall-tepe"};
        std::string common =
            "region: \"plovdiv\"\nzones:\n  hall-trakia: \"plovdiv\"\n  hall-maritsa: \"plovdiv\"\n  hall-tepe: "
            "\"plovdiv\"\nportRange:\n  - 7780\n  - 7795\nseeds:\n";
        for (int i = 0; i < plan.cores && i < 3; ++i)
            common += "  - \"" + ip(1, i) + ":" + std::to_string(kControlPort) + "\"\n";
        common += "faultTolerance:\n  machines: " + std::to_string(plan.tolerated) + "\n  zones: 0\n  regions: 0\n";
        common +=
            "bounds:\n  seedLagS: 3\n  reuseAfterS: 2\n  contactMs: 4000\n  ackMs: 5000\n  catchUpS: 4.5\n  drainMs: "
            "3000\n  graceS: 6\n  lossSlackMs: 200\n  configApplyMs: 3000\n  rollbackSlackMs: 250\n  maxSkewMs: "
            "12000\n  recoveryS: 12\n  finishS: 10\n  statusS: 120\n  callbackS: 5\n  visibilityMs: 3000\n  earlyMs: "
            "100\n  ceilingWindowS: 5\n  ceilingOvershoot: 1.1\n";
        common += "discovery: \"cloud_api\"\nentry: \"vip\"\nheartbeatMs: 1200\ncloud:\n  address: \"" + ip(9, 0) +
                  ":8065\"\n  ratePerS: 44.0\n  duties: []\n  maxLagMs: 800\n";
        const std::string core = common + "limits: {cpuShare: 0.6, cpuCores: 1, memoryMb: 256, maxFds: 4096, linkMbps: 1000.0, diskMb: 128}\n";
        const std::string store = common + "limits: {cpuShare: 0.5, cpuCores: 1, memoryMb: 280, maxFds: 8200, linkMbps: 600.0, diskMb: 400}\n";
        const std::string edge = common + "limits: {cpuShare: 0.25, cpuCores: 1, memoryMb: 260, maxFds: 4100, linkMbps: 1000.0, diskMb: 0}\n";
        platform_ = std::make_unique<Listener>(ip(9, 0), 8065, [this](int fd, const Message&) {
            return sendAll(fd, response(200, "Content-Type: application/json\r\n", list()));
        });
        for (int i = 0; i < plan.cores; ++i) nodes.push_back(std::make_unique<Node>(folder_, "core", i, ip(1, i), zones[i % 3], core));
        for (int i = 0; i < plan.stores; ++i) nodes.push_back(std::make_unique<Node>(folder_, "store", i, ip(2, i), zones[i % 3], store));
        for (int i = 0; i < plan.edges; ++i) nodes.push_back(std::make_unique<Node>(folder_, "edge", i, ip(3, i), zones[i % 3], edge));
    }
    ~World() { end(); }

    // Ends all processes and removes the temporary folder. With KEEP=1 the folder stays.
    void end() {
        for (auto& node : nodes) node->kill();
        std::error_code error;
        if (std::getenv("KEEP") == nullptr) std::filesystem::remove_all(folder_, error);
        record.flush();
    }
    std::string ip(int kind, int number) const {
        return "127." + std::to_string(net_) + "." + std::to_string(kind) + "." + std::to_string(number + 1);
    }
    std::vector<Node*> all(const std::string& role) {
        std::vector<Node*> found;
        for (auto& node : nodes) {
            if (node->role() == role) found.push_back(node.get());
        }
        return found;
    }
    void list(const Instance& instance) {
        const std::lock_guard lock(mutex_);
        instances_.push_back(instance);
    }
    void unlist(const std::string& uid) {
        const std::lock_guard lock(mutex_);
        std::erase_if(instances_, [&](const Instance& each) { return each.uid == uid; });
    }
    void startAll() {
        for (auto& node : nodes) {
            node->start(true);
            record.line("start %s at %s", node->name().c_str(), node->ip().c_str());
        }
    }
    // Sends a configuration until it has a clear answer. 0: none came in time.
    int configure(long long base, const std::string& body, double limit_ms = 15'000) {
        const double until = nowMs() + limit_ms;
        const std::vector<Node*> cores = all("core");
        for (std::size_t i = 0; nowMs() < until; ++i) {
            const Answer answer = ask(cores[i % cores.size()]->ip(), kControlPort, "POST", "/Config.Replace",
                                      "Host: c\r\nContent-Type: application/json\r\nBase-Version: " + std::to_string(base) + "\r\n",
                                      body, 1500);
            record.line("operator: Config.Replace on %lld -> %d", base, answer.status());
            if (answer.status() == 200 || (answer.status() >= 400 && answer.status() < 500)) return answer.status();
            sleepMs(150);
        }
        return 0;
    }
    bool waitReady(double limit_ms = 20'000) {
        const double until = nowMs() + limit_ms;
        for (Node* edge : all("edge")) {
            while (ask(edge->ip(), kReadinessPort, "GET", "/ready", "Host: r\r\n", "", 500).status() != 200) {
                if (nowMs() > until) return false;
                sleepMs(50);
            }
        }
        return true;
    }

    Record record;
    std::mt19937_64 random;
    std::vector<std::unique_ptr<Node>> nodes;

private:
    std::string list() {
        const std::lock_guard lock(mutex_);
        std::string body = "{\"instances\":[";
        for (std::size_t i = 0; i < instances_.size(); ++i) {
            const Instance& each = instances_[i];
            body += (i > 0 ? "," : "") + std::string("{\"backend\":\"") + each.service + "\",\"address\":\"" + each.ip + ":" +
                    std::to_string(each.port) + "\",\"zone\":\"" + each.zone + "\",\"generation\":\"v1\",\"capacity\":" +
                    std::to_string(each.capacity) + ",\"phase\":\"" + each.phase + "\",\"warmupRemainingMs\":0,\"uid\":\"" +
                    each.uid + "\"}";
        }
        return body + "],\"nextPageToken\":null}";
    }
    std::string folder_;
    int net_;
    std::mutex mutex_;
    std::vector<Instance> instances_;
    std::unique_ptr<Listener> platform_;
};

// What the servers saw of each message, by Request-Id.
struct Run {
    double began = 0;
    double answered = 0;  // when the whole answer had been written; 0: not
    int status = 0;
    bool read = false;  // the caller has sent its next request on the connection, so it has read the answer
    std::string server, target;
};

class Runs {
public:
    std::size_t begin(const std::string& id, const std::string& server, const std::string& target) {
        const std::lock_guard lock(mutex_);
        runs_[id].push_back({nowMs(), 0, 0, false, server, target});
        return runs_[id].size() - 1;
    }
    void end(const std::string& id, std::size_t index, int status) {
        const std::lock_guard lock(mutex_);
        runs_[id][index].answered = nowMs();
        runs_[id][index].status = status;
    }
    void markRead(const std::string& id, std::size_t index) {
        const std::lock_guard lock(mutex_);
        runs_[id][index].read = true;
    }
    std::map<std::string, std::vector<Run>> copy() {
        const std::lock_guard lock(mutex_);
        return runs_;
    }

private:
    std::mutex mutex_;
    std::map<std::string, std::vector<Run>> runs_;
};

// A sound application server: works for `work_ms`, then answers as `answer` says (200 with a stamp by default).
class Server {
public:
    static constexpr int kKeepAliveS = 5;  // idle connections are closed after it
    struct Reply {
        double work_ms = 30;
        int status = 200;
        bool silent = false;  // closes without an answer after the work
    };
    using Decide = std::function<Reply(const std::string& id, std::size_t attempt, const Message&)>;
    Server(World& world, Runs& runs, Instance instance, Decide decide)
        : world_(world), runs_(runs), instance_(std::move(instance)), decide_(std::move(decide)) {
        listener_ = std::make_unique<Listener>(instance_.ip, instance_.port,
                                               [this](int fd, const Message& request) { return serve(fd, request); },
                                               [this](int fd) { forget(fd); }, kKeepAliveS * 1000);
    }

private:
    bool serve(int fd, const Message& request) {
        noteRead(fd);
        const std::string id = request.field("request-id");
        const std::string echo = "Request-Id: " + id + "\r\nKeep-Alive: timeout=" + std::to_string(kKeepAliveS) + "\r\n";
        if (request.method == "GET")
            return sendAll(fd, response(200, "Instance-Id: " + instance_.uid + "\r\n" + echo));
        const std::string expected = request.field("expect-instance");
        if (!expected.empty() && expected != instance_.uid)
            return sendAll(fd, response(421, "Not-Executed: 1\r\n" + echo));
        if (working_.fetch_add(1) >= instance_.capacity * 5) {
            working_.fetch_sub(1);
            return sendAll(fd, response(503, "Not-Executed: 1\r\n" + echo));
        }
        // At most `capacity` at once; a few more wait.
        while (true) {
            int busy = busy_.load();
            if (busy < instance_.capacity && busy_.compare_exchange_weak(busy, busy + 1)) break;
            sleepMs(1);
        }
        const std::size_t attempt = runs_.begin(id, instance_.uid, request.target);
        world_.record.line("%s begins %s attempt %zu key=%s", instance_.uid.c_str(), id.c_str(), attempt,
                           request.field("order-key").c_str());
        const Reply reply = decide_(id, attempt, request);
        sleepMs(reply.work_ms);
        busy_.fetch_sub(1);
        working_.fetch_sub(1);
        if (reply.silent) return false;
        const std::string stamp = instance_.uid + "." + id + "." + std::to_string(attempt);
        const std::string fields = (reply.status < 300 ? "Response-Stamp: " + stamp + "\r\n" : std::string()) + echo;
        const bool written = sendAll(fd, response(reply.status, fields, "ok"));
        if (written) {
            runs_.end(id, attempt, reply.status);
            const std::lock_guard lock(mutex_);
            last_answer_[fd] = {id, attempt};
        }
        world_.record.line("%s answers %s attempt %zu with %d%s", instance_.uid.c_str(), id.c_str(), attempt, reply.status,
                           written ? "" : " (the connection had gone)");
        return written;
    }
    // A further request on a connection tells that the answer before it has been read.
    void noteRead(int fd) {
        std::pair<std::string, std::size_t> answered;
        {
            const std::lock_guard lock(mutex_);
            const auto found = last_answer_.find(fd);
            if (found == last_answer_.end()) return;
            answered = found->second;
            last_answer_.erase(found);
        }
        runs_.markRead(answered.first, answered.second);
    }
    void forget(int fd) {
        const std::lock_guard lock(mutex_);
        last_answer_.erase(fd);
    }
    World& world_;
    Runs& runs_;
    Instance instance_;
    Decide decide_;
    std::atomic<int> working_{0};
    std::atomic<int> busy_{0};
    std::mutex mutex_;
    std::map<int, std::pair<std::string, std::size_t>> last_answer_;  // by connection
    std::unique_ptr<Listener> listener_;
};

inline bool withTrouble() {
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

}  // namespace review
