// Polls the platform's API for the list of application servers; runs on the leader only.
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
// Returns nullopt if the body is not a valid page.
std::optional<InstancePage> parseInstancePage(const std::string& body);
// Escapes the characters that are not allowed in a query string.
std::string percentEncode(std::string_view text);

// Publishes a list when it differs from the published one. After a failed poll the old list stays published,
// and the next poll follows after a back-off of 125 ms to 1 s.
class ServerPoller {
public:
    struct Hooks {
        std::function<bool()> may_poll;                // whether this machine is still the leader
        std::function<void(ServerList)> publish;       // called when the list has changed
        std::function<const ServerList*()> published;  // the current list; null if there is none
    };

    ServerPoller(Scheduler& scheduler, HttpClient& http, CloudSettings cloud, Hooks hooks);

    // Starts polling immediately, as the leader of `term`. Polling stops when may_poll returns false.
    void start(std::uint64_t term);

private:
    void startPoll();
    void readPage(const std::string& token);
    void onPage(std::uint64_t poll, const HttpOutcome& outcome);
    void onListComplete();
    void onFailure();
    void schedulePoll(Millis pause);

    Scheduler& scheduler_;
    HttpClient& http_;
    CloudSettings cloud_;
    Hooks hooks_;
    std::uint64_t term_ = 0;
    std::uint64_t published_count_ = 0;  // lists published in this term
    std::uint64_t poll_serial_ = 0;      // answers to earlier polls are ignored
    std::size_t pages_read_ = 0;         // in this poll
    std::vector<ServerEntry> servers_;
    Millis backoff_{0};
    TimerHandle timer_;
    Lifetime lifetime_;
};

}  // namespace amberswitch::cluster
