// Reads the platform's list of application servers, on the leader only.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cluster/common/http.hpp"
#include "cluster/common/messages.hpp"
#include "cluster/common/scheduler.hpp"
#include "cluster/common/settings.hpp"
#include "cluster/control/lifetime.hpp"

namespace amberswitch::cluster {

// One page of the platform's answer to GET /instances.
struct InstancePage {
    std::vector<ServerEntry> servers;
    std::string next_token;  // empty on the last page
};
// Nothing where the body is not such a page.
std::optional<InstancePage> parseInstancePage(const std::string& body);
// Escapes what may not stand in a query.
std::string percentEncode(std::string_view text);

class ServerPoller {
public:
    struct Hooks {
        std::function<bool()> may_poll;                // still the leader
        std::function<void(ServerList)> publish;       // the list has changed
        std::function<const ServerList*()> published;  // what is known now; null if nothing is
    };

    ServerPoller(Scheduler& scheduler, HttpClient& http, CloudSettings cloud, Hooks hooks);

    // Begins to poll at once, as the leader of that term; stops by itself once may_poll says no.
    void start(std::uint64_t term);

private:
    void beginList();
    void readPage(const std::string& token);
    void onPage(std::uint64_t poll, const HttpOutcome& outcome);
    void onList();
    void onFailure();
    void waitThenPoll(Millis pause);

    Scheduler& scheduler_;
    HttpClient& http_;
    CloudSettings cloud_;
    Hooks hooks_;
    std::uint64_t term_ = 0;
    std::uint64_t count_ = 0;  // lists published in this term
    std::uint64_t poll_ = 0;   // answers to earlier polls are ignored
    std::size_t pages_ = 0;    // read in this poll
    std::vector<ServerEntry> servers_;
    Millis backoff_{0};
    TimerHandle timer_;
    Lifetime lifetime_;
};

}  // namespace amberswitch::cluster
