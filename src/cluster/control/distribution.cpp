#include "cluster/control/distribution.hpp"

#include <algorithm>
#include <utility>

#include "cluster/common/codec.hpp"

namespace amberswitch::cluster {
namespace {

constexpr Millis kMaxWait{5000};
constexpr Millis kExpiryCheckInterval{100};  // watchers that expire within one interval are answered together
constexpr unsigned kConfigPart = 1;
constexpr unsigned kServersPart = 2;
constexpr unsigned kViewPart = 4;
constexpr unsigned kConfirmedParts = kConfigPart | kViewPart;  // sent only after a confirmation
// The rest of the link is left to leases, the register and operator calls.
constexpr double kShareOfLink = 0.5;
constexpr Millis kBurstDuration{100};
constexpr double kBytesPerMegabit = 1e6 / 8;

}  // namespace

Distribution::Distribution(Scheduler& scheduler, ConfirmationHooks hooks, double link_mbps)
    : scheduler_(scheduler),
      hooks_(std::move(hooks)),
      send_budget_(link_mbps * kBytesPerMegabit * kShareOfLink, kBurstDuration) {}

unsigned Distribution::newerParts(const WatchRequest& request) const {
    unsigned parts = 0;
    if (configurationGeneration() > request.config_generation) parts |= kConfigPart;
    if (servers_ && servers_->version > request.servers) parts |= kServersPart;
    if (view_ && view_->epoch > request.view_epoch) parts |= kViewPart;
    return parts;
}

std::optional<ConfigurationPage> Distribution::nextPage(unsigned parts, const WatchRequest& request) {
    if ((parts & kConfigPart) == 0) return std::nullopt;
    return configurations_.updateFrom(request.config_base).pageAfter(request.config_progress);
}

const std::string& Distribution::encoded(unsigned parts, const WatchRequest& request) {
    std::optional<ConfigurationPage> page = nextPage(parts, request);
    const AnswerKey key{parts, page ? page->base_generation : 0, page ? page->offset : 0};
    const auto [found, is_new] = encoded_.try_emplace(key);
    if (!is_new) return found->second;
    WatchReply answer;
    answer.config = std::move(page);
    if (parts & kServersPart) answer.servers = servers_;
    if (parts & kViewPart) answer.view = view_;
    found->second = encode(answer);
    return found->second;
}

void Distribution::watch(const WatchRequest& request, Responder respond) {
    if (!hooks_.is_fresh()) return respond(Envelope{});
    const SteadyTime now = scheduler_.now();
    const Millis wait = std::clamp(Millis(request.max_wait_ms), Millis(0), kMaxWait);
    Watcher watcher{request, now, now + wait, std::move(respond)};
    if (tryAnswer(watcher)) return;
    watchers_.push_back(std::move(watcher));
    armExpiryTimer();
    if (needs_confirmation_) hooks_.confirm();
}

bool Distribution::canAnswer(const Watcher& watcher, unsigned parts) const {
    return (parts & kConfirmedParts) == 0 || hooks_.is_confirmed_since(watcher.received_at);
}

bool Distribution::tryAnswer(Watcher& watcher) {
    const unsigned newer = newerParts(watcher.request);
    if (newer == 0) return false;
    if (!watcher.newer_since) watcher.newer_since = scheduler_.now();
    if (!canAnswer(watcher, newer)) {
        needs_confirmation_ = true;
        return false;
    }
    const Millis pause = send_budget_.timeUntilAvailable(scheduler_.now());
    if (pause > Millis(0)) {
        waitForLink(pause);
        return false;
    }
    answer(watcher, newer);
    return true;
}

void Distribution::answer(const Watcher& watcher, unsigned parts) {
    const std::string& bytes = encoded(parts, watcher.request);
    send_budget_.spend(bytes.size());
    countAnswer(parts, watcher.request, bytes.size());
    const auto waited = std::chrono::floor<Millis>(scheduler_.now() - *watcher.newer_since);
    counters_.longest_wait = std::max(counters_.longest_wait, waited);
    watcher.respond(Envelope{0, bytes});
}

void Distribution::countAnswer(unsigned parts, const WatchRequest& request, std::size_t bytes) {
    if ((parts & kConfigPart) == 0) {
        counters_.other_bytes += bytes;
        return;
    }
    counters_.configuration_bytes += bytes;
    const EncodedUpdate& update = configurations_.updateFrom(request.config_base);
    if (update.pageAfter(request.config_progress).offset > 0) return;
    ++(update.base_generation == 0 ? counters_.whole_configurations : counters_.configuration_differences);
}

void Distribution::waitForLink(Millis pause) {
    ++counters_.waits_for_link;
    if (link_timer_) return;
    link_timer_ = scheduler_.after(pause, [this] {
        link_timer_.reset();
        answerWatchers();
    });
}

void Distribution::answerWatchers() {
    needs_confirmation_ = false;
    std::erase_if(watchers_, [this](Watcher& watcher) { return tryAnswer(watcher); });
    if (needs_confirmation_) hooks_.confirm();
}

void Distribution::onConfirmed() {
    if (needs_confirmation_) answerWatchers();
}

void Distribution::setConfiguration(const ConfigurationState& state) {
    if (configurations_.add(state)) onContentChanged();
}

void Distribution::setServers(ServerList servers) {
    if (servers_ && servers.version <= servers_->version) return;
    servers_ = std::move(servers);
    onContentChanged();
}

void Distribution::setView(StoreView view) {
    const auto order = [](const StoreView& of) { return std::pair(of.epoch, of.leader_term); };
    if (view_ && order(view) <= order(*view_)) return;
    view_ = std::move(view);
    onContentChanged();
}

void Distribution::onContentChanged() {
    encoded_.clear();
    answerWatchers();
}

void Distribution::answerExpired() {
    const SteadyTime now = scheduler_.now();
    const bool fresh = hooks_.is_fresh();
    std::erase_if(watchers_, [&](const Watcher& watcher) {
        // An answer without newer content needs a confirmation too. Either it arrives or this machine stops
        // being fresh.
        if (fresh && (watcher.deadline > now || !hooks_.is_confirmed_since(watcher.received_at)))
            return false;
        watcher.respond(fresh ? Envelope{0, encoded(0, watcher.request)} : Envelope{});
        return true;
    });
}

void Distribution::armExpiryTimer() {
    if (expiry_timer_armed_ || watchers_.empty()) return;
    expiry_timer_armed_ = true;
    expiry_timer_ = scheduler_.after(kExpiryCheckInterval, [this] {
        expiry_timer_armed_ = false;
        answerExpired();
        armExpiryTimer();
    });
}

}  // namespace amberswitch::cluster
