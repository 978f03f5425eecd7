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

}  // namespace

Distribution::Distribution(Scheduler& scheduler, std::function<bool()> is_fresh)
    : scheduler_(scheduler), is_fresh_(std::move(is_fresh)) {}

unsigned Distribution::newerParts(const WatchRequest& request) const {
    unsigned parts = 0;
    if (config_ && config_->generation > request.config_generation) parts |= kConfigPart;
    if (servers_ && servers_->version > request.servers) parts |= kServersPart;
    if (view_ && view_->epoch > request.view_epoch) parts |= kViewPart;
    return parts;
}

const std::string& Distribution::encoded(unsigned parts) {
    std::string& bytes = encoded_[parts];
    if (!bytes.empty()) return bytes;
    WatchReply answer;
    if (parts & kConfigPart) answer.config = config_;
    if (parts & kServersPart) answer.servers = servers_;
    if (parts & kViewPart) answer.view = view_;
    bytes = encode(answer);
    return bytes;
}

void Distribution::watch(const WatchRequest& request, Responder respond) {
    const unsigned newer = newerParts(request);
    if (newer != 0) return respond(Envelope{0, encoded(newer)});
    if (!is_fresh_()) return respond(Envelope{});
    const Millis wait = std::clamp(Millis(request.max_wait_ms), Millis(0), kLongestWait);
    watchers_.push_back({request, scheduler_.now() + wait, std::move(respond)});
    armTimer();
}

void Distribution::setConfiguration(ConfigurationState state) {
    if (state.generation <= configurationGeneration()) return;
    state.taken.clear();
    config_ = std::move(state);
    changed();
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
    for (std::string& bytes : encoded_) bytes.clear();
    for (auto watcher = watchers_.begin(); watcher != watchers_.end();) {
        const unsigned newer = newerParts(watcher->request);
        if (newer == 0) {
            ++watcher;
            continue;
        }
        watcher->respond(Envelope{0, encoded(newer)});
        watcher = watchers_.erase(watcher);
    }
}

void Distribution::sweep() {
    const SteadyTime now = scheduler_.now();
    const bool fresh = is_fresh_();
    for (auto watcher = watchers_.begin(); watcher != watchers_.end();) {
        if (fresh && watcher->until > now) {
            ++watcher;
            continue;
        }
        watcher->respond(fresh ? Envelope{0, encoded(0)} : Envelope{});
        watcher = watchers_.erase(watcher);
    }
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
