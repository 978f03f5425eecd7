#include "lab/books.hpp"

#include <algorithm>

namespace amberswitch::lab {

const char* nameOf(Count count) {
    constexpr const char* kNames[] = {
        "list_calls", "whole_lists",  "turned_away", "list_connections", "server_connections",
        "handshakes", "probes",       "attempts",    "served",           "refused",
        "failed",     "ready",        "falls",       "over_limit",       "unserved",
        "tasks",      "tasks_served", "home_tasks",  "home_served",      "outside"};
    return kNames[static_cast<std::size_t>(count)];
}

std::array<std::uint32_t, kCounts>& Books::second(Time now) {
    const auto at = static_cast<std::size_t>(std::max(0.0, sinceBegin(now)));
    if (at >= seconds_.size()) seconds_.resize(at + 1);
    return seconds_[at];
}

std::uint64_t Books::sum(Count what, Time from) const {
    std::uint64_t out = 0;
    const auto first = static_cast<std::size_t>(std::max(0.0, from.count() ? sinceBegin(from) : 0.0));
    for (std::size_t i = first; i < seconds_.size(); ++i) out += seconds_[i][static_cast<std::size_t>(what)];
    return out;
}

void Books::wrong(Time now, const std::string& what) {
    char at[32];
    std::snprintf(at, sizeof at, "%.3f s: ", sinceBegin(now));
    if (++wrongCount_ <= kMostWrongs) wrongs_.push_back(at + what);
}

void Books::excuse(int dispatcher, Time from, Time until) {
    excuses_.emplace(dispatcher, Excuse{from, until});
}

bool Books::excused(int dispatcher, Time from, Time until) const {
    const auto [first, last] = excuses_.equal_range(dispatcher);
    return std::any_of(first, last,
                       [&](const auto& one) { return one.second.from <= until && from <= one.second.until; });
}

void Books::asked(Time now, const std::string& id, int dispatcher, Time giveUp, bool home) {
    Job& job = jobs_[id];
    job.home = home;
    job.dispatcher = dispatcher, job.asked = now, job.giveUp = giveUp;
}

void Books::unread(const std::string& id) {
    jobs_.erase(id);
}

void Books::answered(Time now, const std::string& id, int status, const std::string& result) {
    const auto at = jobs_.find(id);
    if (at == jobs_.end()) return wrong(now, "an answer for " + id + ", which nobody asked");
    Job& job = at->second;
    if (++job.answers > 1) return wrong(now, id + " has a second answer");
    if (now > job.giveUp + kSlack && !excused(job.dispatcher, job.asked, now))
        wrong(now, id + " was answered after its client gave up");
    count(now, status == 200                    ? Count::served
               : status == 429 || status == 503 ? Count::refused
                                                : Count::failed);
    if (status != 200) return;
    if (std::find(job.results.begin(), job.results.end(), result) == job.results.end())
        wrong(now, id + " was served with what no job server made for it");
}

std::size_t Books::mostOutside(Nanos span) const {
    std::size_t most = 0;
    for (std::size_t first = 0, last = 0; last < outside_.size(); ++last) {
        while (outside_[first] <= outside_[last] - span) ++first;
        most = std::max(most, last - first + 1);
    }
    return most;
}

void Books::broke(Time now, const std::string& id) {
    const auto at = jobs_.find(id);
    if (at == jobs_.end()) return;
    Job& job = at->second;
    ++job.answers;
    count(now, Count::failed);
    if (!excused(job.dispatcher, job.asked, now))
        wrong(now, id + " lost: n" + std::to_string(job.dispatcher) + " ended its connection");
}

Books::Attempt* Books::open(const std::string& id, int server) {
    const auto at = jobs_.find(id);
    if (at == jobs_.end()) return nullptr;
    for (auto& one : at->second.attempts)
        if (one.server == server && !one.over) return &one;
    return nullptr;
}

void Books::attempted(Time now, const std::string& id, int dispatcher, int server, bool atHome) {
    count(now, Count::attempts);
    const auto at = jobs_.find(id);
    if (at == jobs_.end()) return wrong(now, id + " was sent to a job server, and nobody had asked");
    Job& job = at->second;
    if (job.home && !atHome && !std::exchange(job.outside, true))
        outside_.push_back(now), count(now, Count::outside);
    const bool mayHaveRun =
        std::any_of(job.attempts.begin(), job.attempts.end(), [](const Attempt& one) { return !one.never; });
    if (!repeats_ && mayHaveRun) wrong(now, id + " was sent again though it may have run");
    job.attempts.push_back({server, false, false});
    const auto off = offSince_.find({dispatcher, server});
    if (off != offSince_.end() && now > off->second + drainGrace_ && !excused(dispatcher, off->second, now))
        wrong(now, id + " came to s" + std::to_string(server) + " after n" + std::to_string(dispatcher) +
                       " was told of its end");
}

void Books::neverRan(const std::string& id, int server) {
    if (Attempt* const one = open(id, server)) one->over = one->never = true;
}

void Books::ended(const std::string& id, int server, const std::string& result) {
    if (Attempt* const one = open(id, server)) {
        one->over = true;
        jobs_[id].results.push_back(result);
    }
}

void Books::fell(Time now, int server) {
    count(now, Count::falls);
    wrong(now, "s" + std::to_string(server) + " was cold and was pushed over");
}

void Books::told(Time now, int dispatcher, int server, bool on) {
    if (on)
        offSince_.erase({dispatcher, server});
    else
        offSince_.emplace(std::pair{dispatcher, server}, now);
}

void Books::close(Time now, Time takenBefore) {
    for (const auto& [id, job] : jobs_)
        if (job.answers == 0 && job.asked < takenBefore && !excused(job.dispatcher, job.asked, now))
            wrong(now, id + " has no answer from n" + std::to_string(job.dispatcher));
}

}  // namespace amberswitch::lab
