// Tests of the control address of a running core process through an HTTP client.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <optional>
#include <string>
#include <utility>

#include "cluster/common/evhttp_client.hpp"
#include "cluster/control/operator_api.hpp"
#include "tests/cluster/large_configuration.hpp"
#include "tests/cluster/loopback_peers.hpp"

using namespace amberswitch::cluster;
using amberswitch::cluster::testing::largeConfiguration;
using amberswitch::cluster::testing::runUntil;

namespace {

constexpr std::size_t kMessageBodyBytes = 262'144;  // default body limit of a dispatcher
constexpr Millis kCallTimeout{5000};
constexpr Millis kRetryPause{50};
constexpr int kTaken = 200;
constexpr int kTooLarge = 413;

// A loopback address that no other process uses, so that its ports are free.
std::string ownLoopbackIp() {
    const auto id = static_cast<unsigned>(getpid());
    return "127." + std::to_string(1 + (id >> 16U) % 250) + "." + std::to_string(id >> 8U & 255U) + "." +
           std::to_string(id & 255U);
}

// The only core machine of a system that starts for the first time.
class CoreProcess {
public:
    CoreProcess() {
        char folder[] = "/tmp/control_listener_test_XXXXXX";
        REQUIRE(mkdtemp(folder) != nullptr);
        folder_ = folder;
        writeSettings();
        process_ = fork();
        REQUIRE(process_ >= 0);
        if (process_ == 0) {
            execl(AMBERCLUSTER_PATH, AMBERCLUSTER_PATH, "core", "--settings", settingsPath().c_str(),
                  static_cast<char*>(nullptr));
            _exit(127);
        }
    }
    ~CoreProcess() {
        kill(process_, SIGKILL);
        waitpid(process_, nullptr, 0);
        std::filesystem::remove_all(folder_);
    }
    CoreProcess(const CoreProcess&) = delete;
    CoreProcess& operator=(const CoreProcess&) = delete;

    const NodeAddress& control() const { return control_; }

private:
    std::string settingsPath() const { return folder_ + "/settings.yaml"; }
    void writeSettings() const {
        const std::string control = control_.ip + ":" + std::to_string(control_.port);
        std::ofstream(settingsPath())
            << "nodeName: core-1\nip: " << control_.ip
            << "\nzone: z\nbootstrap: true\ncountsForQuorum: true\n"
            << "bindAddrs: {control: '" << control << "'}\nseeds: ['" << control << "']\n"
            << "portRange: [7780, 7795]\n"
            << "limits: {diskMb: 128}\ndataDir: " << folder_ << "/data\n";
    }

    std::string folder_;
    NodeAddress control_{ownLoopbackIp(), 8064};
    pid_t process_ = -1;
};

// An operator that repeats a call while the core machine can't be reached or the outcome is unknown.
class Operator {
public:
    explicit Operator(NodeAddress control) : control_(std::move(control)) {}

    HttpResponse replace(std::int64_t base, const std::string& body) {
        return call({"POST", "/Config.Replace", {{"Base-Version", std::to_string(base)}}, body});
    }
    HttpResponse read() { return call({"GET", "/Config.Read", {}, {}}); }

private:
    HttpResponse call(const HttpRequest& request) {
        answer_.reset();
        send(request);
        REQUIRE(runUntil(loop_, [this] { return answer_.has_value(); }));
        return *answer_;
    }
    void send(const HttpRequest& request) {
        HttpCall call;
        call.to = control_;
        call.request = request;
        call.request.headers.push_back({"Host", "core"});
        call.timeout = kCallTimeout;
        client_.send(std::move(call), [this, request](HttpOutcome outcome) {
            constexpr int kOutcomeNotKnown = 503;
            const bool answered = outcome.verdict == CallStatus::answered;
            if (answered && outcome.response.status != kOutcomeNotKnown) {
                answer_ = std::move(outcome.response);
            } else {
                retry_ = loop_.after(kRetryPause, [this, request] { send(request); });
            }
        });
    }

    NodeAddress control_;
    EventLoop loop_;
    EvhttpClient client_{loop_};
    TimerHandle retry_;
    std::optional<HttpResponse> answer_;
};

}  // namespace

TEST_CASE("a configuration of 1,000 services is accepted by the control listener and read back") {
    const CoreProcess core;
    Operator caller(core.control());
    const std::string body = largeConfiguration(1, 1'000);
    REQUIRE(body.size() > kMessageBodyBytes);
    const HttpResponse taken = caller.replace(0, body);
    CHECK(taken.status == kTaken);
    const HttpResponse read = caller.read();
    CHECK(read.status == kTaken);
    CHECK((read.body == body));
}

TEST_CASE("a body that exceeds the size limit of a configuration is rejected") {
    const CoreProcess core;
    Operator caller(core.control());
    CHECK(caller.replace(0, std::string(kMaxOperatorBodyBytes + 1, ' ')).status == kTooLarge);
    CHECK(caller.replace(0, largeConfiguration(1, 1)).status == kTaken);
}
