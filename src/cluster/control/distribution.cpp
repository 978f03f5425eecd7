#include "cluster/control/distribution.hpp"

#include <algorithm>
#include <utility>

#include "cluster/common/codec.hpp"

namespace amberswitch::cluster {
namespace {

constexpr Millis kLongestWait{5000};
constexpr Millis kSweepInterval{100};  // watchers whose time is over within it are answered together
constexpr unsigned kConfigPart = 1;
constexpr unsigned kServersPart = 2;
constexpr unsigned kViewPart = 4;
constexpr unsigned kConfirmedParts = kConfigPart | kViewPart;  // told only with a confirmation
// The rest is for leases, the register and the operator.
constexpr double kShareOfLink = 0.5;
constexpr Millis kBurst{100};
constexpr double kBytesPerMegabit = 1e6 / 8;

}  // namespace

Distribution::Distribution(Scheduler& scheduler, ConfirmationHooks hooks, double link_mbps)
    : scheduler_(scheduler),
      hooks_(std::move(hooks)),
      link_(link_mbps * kBytesPerMegabit * kShareOfLink, kBurst) {}

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
    const Millis wait = std::clamp(Millis(request.max_wait_ms), Millis(0), kLongestWait);
    Watcher watcher{request, now, now + wait, std::move(respond)};
    if (tell(watcher)) return;
    watchers_.push_back(std::move(watcher));
    armTimer();
    if (unconfirmed_) hooks_.confirm();
}

bool Distribution::mayBeTold(const Watcher& watcher, unsigned parts) const {
    return (parts & kConfirmedParts) == 0 || hooks_.is_confirmed_since(watcher.since);
}

bool Distribution::tell(Watcher& watcher) {
    const unsigned newer = newerParts(watcher.request);
    if (newer == 0) return false;
    if (!watcher.news_since) watcher.news_since = scheduler_.now();
    if (!mayBeTold(watcher, newer)) {
        unconfirmed_ = true;
        return false;
    }
    const Millis pause = link_.timeUntilAvailable(scheduler_.now());
    if (pause > Millis(0)) {
        waitForLink(pause);
        return false;
    }
    answer(watcher, newer);
    return true;
}

void Distribution::answer(const Watcher& watcher, unsigned parts) {
    const std::string& bytes = encoded(parts, watcher.request);
    link_.spend(bytes.size());
    count(parts, watcher.request, bytes.size());
    const auto waited = std::chrono::floor<Millis>(scheduler_.now() - *watcher.news_since);
    counters_.longest_wait = std::max(counters_.longest_wait, waited);
    watcher.respond(Envelope{0, bytes});
}

void Distribution::count(unsigned parts, const WatchRequest& request, std::size_t bytes) {
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
        tellAll();
    });
}

void Distribution::tellAll() {
    unconfirmed_ = false;
    std::erase_if(watchers_, [this](Watcher& watcher) { return tell(watcher); });
    if (unconfirmed_) hooks_.confirm();
}

void Distribution::confirmed() {
    if (unconfirmed_) tellAll();
}

void Distribution::setConfiguration(const ConfigurationState& state) {
    if (configurations_.add(state)) changed();
}

void Distribution::setServers(ServerList servers) {
    if (servers_ && servers.version <= servers_->version) return;
    servers_ = std::move(servers);
    changed();
}

void Distribution::setView(StoreView view) {
    const auto order = [](const StoreView& of) { return std::pair(of.epoch, of.leader_term); };
    if (view_ && order(view) <= order(*view_)) return;
    view_ = std::move(view);
    changed();
}

void Distribution::changed() {
    encoded_.clear();
    tellAll();
}

void Distribution::sweep() {
    const SteadyTime now = scheduler_.now();
    const bool fresh = hooks_.is_fresh();
    std::erase_if(watchers_, [&](const Watcher& watcher) {
        // That nothing is newer needs a confirmation too; it comes, or this machine is not fresh any more.
        if (fresh && (watcher.until > now || !hooks_.is_confirmed_since(watcher.since))) return false;
        watcher.respond(fresh ? Envelope{0, encoded(0, watcher.request)} : Envelope{});
        return true;
    });
}

void Distribution::armTimer() {
    if (timer_armed_ || watchers_.empty()) return;
    timer_armed_ = true;
    timer_ = scheduler_.after(kSweepInterval, [this] {
        timer_armed_ = false;
        sweep();
        armTimer();
    });
}

}  // namespace amberswitch::cluster
