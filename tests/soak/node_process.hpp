// A process of the service that the soak starts, kills, pauses, cuts off and starts again.
#pragma once

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>
#include <stdexcept>
#include <string>
#include <vector>

#include "cluster/common/types.hpp"

namespace amberswitch::cluster::testing {

inline constexpr std::uint16_t kControlPort = 8064;
inline constexpr std::uint16_t kReadinessPort = 8063;
inline constexpr std::uint16_t kFrontPort = 8069;
inline constexpr std::uint16_t kFirstPort = 7780;

// What all processes of one soak share.
struct SoakPlan {
    std::string folder;
    std::vector<std::string> core_ips;
    NodeAddress platform;
};

class NodeProcess {
public:
    NodeProcess(const SoakPlan& plan, std::string role, std::string ip, int number)
        : plan_(plan), role_(std::move(role)), ip_(std::move(ip)) {
        name_ = role_ + "-" + std::to_string(number);
        zone_ = "zone-" + std::to_string(number);
        std::filesystem::create_directories(path("data"));
        start(true);
    }
    ~NodeProcess() { kill(); }
    NodeProcess(const NodeProcess&) = delete;
    NodeProcess& operator=(const NodeProcess&) = delete;

    const std::string& name() const { return name_; }
    const std::string& role() const { return role_; }
    const std::string& ip() const { return ip_; }
    bool runs() const { return pid_ > 0; }

    void start(bool bootstrap = false) {
        if (runs()) return;
        writeSettings(bootstrap);
        std::signal(SIGUSR1, SIG_IGN);  // inherited, until the program listens for it
        pid_ = fork();
        if (pid_ < 0) throw std::runtime_error("no process could be made");
        if (pid_ == 0) runChild();
    }
    void kill() {
        if (!runs()) return;
        ::kill(pid_, SIGKILL);
        waitpid(pid_, nullptr, 0);
        pid_ = 0;
        leaving_ = false;
    }
    // The planned end; restartIfEnded() starts it again.
    void terminate() {
        signal(SIGTERM);
        leaving_ = true;
    }
    // Its settings file may have changed.
    void hangUp() const { signal(SIGHUP); }
    bool isLeaving() const { return leaving_; }
    void restartIfEnded() {
        if (!leaving_ || waitpid(pid_, nullptr, WNOHANG) != pid_) return;
        leaving_ = false;
        pid_ = 0;
        start();
    }
    void pause() const { signal(SIGSTOP); }
    void resume() const { signal(SIGCONT); }
    // Nothing of this process reaches these IPs any more.
    void cutFrom(const std::set<std::string>& ips) const {
        std::ofstream file(path("cut"));
        for (const std::string& ip : ips) file << ip << '\n';
        file.close();
        signal(SIGUSR1);
    }
    // How it ended without having been told to; empty: it runs, or was killed.
    std::string ownEnd() const {
        int status = 0;
        if (!runs() || leaving_ || waitpid(pid_, &status, WNOHANG) != pid_) return "";
        if (WIFSIGNALED(status)) return "signal " + std::to_string(WTERMSIG(status));
        return "exit status " + std::to_string(WEXITSTATUS(status));
    }
    // All that its processes have written.
    std::string log() const {
        std::ifstream file(path("log"));
        std::ostringstream text;
        text << file.rdbuf();
        return text.str();
    }

private:
    std::string path(const std::string& what) const { return plan_.folder + "/" + name_ + "." + what; }
    void signal(int number) const {
        if (runs()) ::kill(pid_, number);
    }

    void writeSettings(bool bootstrap) const {
        std::ofstream out(path("yaml"));
        out << "nodeName: " << name_ << "\nip: " << ip_ << "\nzone: " << zone_ << "\nregion: r\nserves: ["
            << (role_ == "core"    ? "control_plane"
                : role_ == "store" ? "storage"
                                   : "edge")
            << "]\n";
        out << "bindAddrs:\n";
        if (role_ == "core") out << "  control: " << NodeAddress{ip_, kControlPort}.text() << '\n';
        if (role_ == "edge") {
            out << "  front: " << NodeAddress{ip_, kFrontPort}.text() << '\n';
            out << "  readiness: " << NodeAddress{ip_, kReadinessPort}.text() << '\n';
        }
        if (role_ == "store") out << "  none: null\n";
        out << "portRange: [" << kFirstPort << ", " << kFirstPort + 15 << "]\nseeds:\n";
        for (const std::string& core : plan_.core_ips) out << "  - " << core << ":" << kControlPort << '\n';
        out << "bootstrap: " << (bootstrap ? "true" : "false")
            << "\ncountsForQuorum: " << (role_ == "edge" ? "false" : "true")
            << "\nlimits:\n  diskMb: " << (role_ == "edge" ? 0 : 64) << "\nfaultTolerance:\n  machines: 1\n";
        if (role_ != "edge") out << "dataDir: " << path("data") << '\n';
        out << "cloud:\n  address: " << plan_.platform.text() << "\n  ratePerS: 40\n  maxLagMs: 100\n";
    }

    [[noreturn]] void runChild() const {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int log = open(path("log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(log, STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
        const int last = 1024;
        for (int other = STDERR_FILENO + 1; other < last; ++other) close(other);
        execl(SOAK_NODE_PATH, SOAK_NODE_PATH, role_.c_str(), path("yaml").c_str(), path("cut").c_str(),
              static_cast<char*>(nullptr));
        _exit(127);
    }

    const SoakPlan& plan_;
    std::string role_;
    std::string ip_;
    std::string name_;
    std::string zone_;
    pid_t pid_ = 0;
    bool leaving_ = false;
};

}  // namespace amberswitch::cluster::testing
