// Answers the long polls of edges, stores and other core machines with the configuration, view and server
// list that are newer than theirs.
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

// Access to ChosenValues: whether the chosen values known to this machine are confirmed to be the newest.
struct ConfirmationHooks {
    // A recent confirmation exists, so polls may be held.
    std::function<bool()> is_fresh;
    // Confirmed by a round of asking a majority that began at `since` or later.
    std::function<bool(SteadyTime since)> is_confirmed_since;
    // Starts such a round; when it succeeds, Distribution::onConfirmed() must be called.
    std::function<void()> confirm;
};

// Totals since the process started.
struct DistributionCounters {
    std::uint64_t whole_configurations = 0;       // transfers begun
    std::uint64_t configuration_differences = 0;  // transfers begun
    std::uint64_t configuration_bytes = 0;        // of pages, compressed
    std::uint64_t other_bytes = 0;                // of server lists, views and empty answers
    std::uint64_t waits_for_link = 0;             // answers delayed by the send budget of the link
    Millis longest_wait{0};  // of a watcher, from the time newer content was found for it until its answer
};

// A configuration or a view is sent only if a confirmation round began after the caller's poll arrived, so it
// is never older than any value acknowledged before that poll. Without a recent confirmation a poll is
// answered with an empty reply, and the caller then asks another machine. The server list needs no
// confirmation; its versions are ordered by the leader's term. A configuration is sent in pages, as the
// difference from the caller's one. All answers together use only a part of the link.
class Distribution {
public:
    // `link_mbps`: link capacity of this machine in Mbit/s; 0 if unknown, which disables the send budget.
    Distribution(Scheduler& scheduler, ConfirmationHooks hooks, double link_mbps = 0);

    // Answers the poll now or later; without newer content it is held for request.max_wait_ms, at most 5 s.
    void watch(const WatchRequest& request, Responder respond);

    // Call after a successful confirmation round; answers the watchers that waited for it.
    void onConfirmed();

    // Each setter ignores a value that is not newer than the current one; otherwise it answers the watchers
    // that wait for it.
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
        SteadyTime received_at;
        SteadyTime deadline;
        Responder respond;
        std::optional<SteadyTime> newer_since{};  // when newer content was first found for it
    };
    // Parts, base generation of the configuration update and offset of its page.
    using AnswerKey = std::tuple<unsigned, std::int64_t, std::uint64_t>;

    // Which parts are newer than the caller's, as a bit set of the k...Part constants.
    unsigned newerParts(const WatchRequest& request) const;
    const std::string& encoded(unsigned parts, const WatchRequest& request);
    std::optional<ConfigurationPage> nextPage(unsigned parts, const WatchRequest& request);
    bool canAnswer(const Watcher& watcher, unsigned parts) const;
    // Answers if there is newer confirmed content and the send budget allows it; returns whether it did.
    bool tryAnswer(Watcher& watcher);
    void answer(const Watcher& watcher, unsigned parts);
    void countAnswer(unsigned parts, const WatchRequest& request, std::size_t bytes);
    void answerWatchers();
    void onContentChanged();
    void answerExpired();
    void armExpiryTimer();
    void waitForLink(Millis pause);

    Scheduler& scheduler_;
    ConfirmationHooks hooks_;
    ConfigurationHistory configurations_;
    std::optional<ServerList> servers_;
    std::optional<StoreView> view_;
    std::map<AnswerKey, std::string> encoded_;  // cache; cleared when the content changes
    SendBudget send_budget_;
    DistributionCounters counters_;
    std::list<Watcher> watchers_;
    bool needs_confirmation_ = false;  // a watcher waits for content that is known here but unconfirmed
    TimerHandle expiry_timer_;
    bool expiry_timer_armed_ = false;
    TimerHandle link_timer_;
};

}  // namespace amberswitch::cluster
