// Answers the long polls of edges, stores and other core machines with what is newer than what they have.
#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <tuple>

#include "cluster/common/messages.hpp"
#include "cluster/common/scheduler.hpp"
#include "cluster/common/transport.hpp"
#include "cluster/control/configuration_history.hpp"
#include "cluster/control/send_budget.hpp"

namespace amberswitch::cluster {

// Whether what this machine knows to be chosen is surely the newest (ChosenValues).
struct ConfirmationHooks {
    // Confirmed lately: polls may be held.
    std::function<bool()> is_fresh;
    // By a round of asking a majority that began at that time or later.
    std::function<bool(SteadyTime since)> is_confirmed_since;
    // Begins such a round; confirmed() is called at its success.
    std::function<void()> confirm;
};

// What has been handed out since the start.
struct DistributionCounters {
    std::uint64_t whole_configurations = 0;  // begun
    std::uint64_t configuration_differences = 0;
    std::uint64_t configuration_bytes = 0;  // of pages, compressed
    std::uint64_t other_bytes = 0;          // of lists of servers, views and empty answers
    std::uint64_t waits_for_link = 0;       // answers that had to wait for room on the link
    Millis longest_wait{0};                 // of a watcher, from when something was newer to its answer
};

// A configuration or a view is handed out only where a confirmation began after the caller's poll had come,
// so it is never older than what was acknowledged before that poll. Without recent confirmation a poll is
// answered by an empty reply: the caller then asks another machine. The list of servers needs no
// confirmation; it is ordered by the leader's term. A configuration goes out as the difference from the one
// that the caller has, in pages; all answers together take a part of the link only.
class Distribution {
public:
    // `link_mbps` of the machine; 0: not known, nothing is held back.
    Distribution(Scheduler& scheduler, ConfirmationHooks hooks, double link_mbps = 0);

    void watch(const WatchRequest& request, Responder respond);

    // A confirmation has come: those who waited for it are answered.
    void confirmed();

    // Each takes only what is newer than what it has, and wakes those who wait for it.
    void setConfiguration(const ConfigurationState& state);
    void setServers(ServerList servers);
    void setView(StoreView view);

    const ServerList* servers() const { return servers_ ? &*servers_ : nullptr; }
    const StoreView* view() const { return view_ ? &*view_ : nullptr; }
    std::int64_t configurationGeneration() const { return configurations_.newestGeneration(); }
    std::size_t watchers() const { return watchers_.size(); }
    const DistributionCounters& counters() const { return counters_; }

private:
    struct Watcher {
        WatchRequest request;
        SteadyTime since;
        SteadyTime until;
        Responder respond;
        std::optional<SteadyTime> news_since{};  // something is newer than what it has
    };
    // Parts, the base of the configuration and the offset of its page.
    using AnswerKey = std::tuple<unsigned, std::int64_t, std::uint64_t>;

    // Which parts are newer than what the caller has: bits of the Part constants.
    unsigned newerParts(const WatchRequest& request) const;
    const std::string& encoded(unsigned parts, const WatchRequest& request);
    std::optional<ConfigurationPage> nextPage(unsigned parts, const WatchRequest& request);
    bool mayBeTold(const Watcher& watcher, unsigned parts) const;
    // Answers where something is newer and confirmed, and the link has room.
    bool tell(Watcher& watcher);
    void answer(const Watcher& watcher, unsigned parts);
    void count(unsigned parts, const WatchRequest& request, std::size_t bytes);
    void tellAll();
    void changed();
    void sweep();
    void armTimer();
    void waitForLink(Millis pause);

    Scheduler& scheduler_;
    ConfirmationHooks hooks_;
    ConfigurationHistory configurations_;
    std::optional<ServerList> servers_;
    std::optional<StoreView> view_;
    std::map<AnswerKey, std::string> encoded_;
    SendBudget link_;
    DistributionCounters counters_;
    std::list<Watcher> watchers_;
    bool unconfirmed_ = false;  // a watcher waits for what is known here, but not confirmed
    TimerHandle timer_;
    bool timer_armed_ = false;
    TimerHandle link_timer_;
};

}  // namespace amberswitch::cluster
