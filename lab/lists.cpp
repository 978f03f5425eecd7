#include "lab/lists.hpp"

#include <algorithm>

namespace amberswitch::lab {

using namespace std::chrono_literals;

Lists::Lists(World& world, AddressOf addressOf)
    : world_(world),
      addressOf_(std::move(addressOf)),
      entries_(world.script.servers.count),
      callsOf_(world.script.dispatchers),
      pace_(world.script.list.callsPerSecond) {
    for (std::size_t s = 0; s < entries_.size(); ++s)
        entries_[s].zone = static_cast<int>(s % world.script.servers.zones);
    listeners_.resize(world.script.dispatchers), deafUntil_.resize(world.script.dispatchers);
    for (std::size_t d = 0; d < world.script.dispatchers; ++d) open(static_cast<int>(d));
    world_.deadlines().once(world_.loop.now(), [this](Time at) { sweep(at); });
}

void Lists::open(int dispatcher) {
    listeners_[static_cast<std::size_t>(dispatcher)] =
        world_.listen(world_.path(dispatcher, Side::list), [this, dispatcher](Time now) {
            world_.books.count(now, Count::listConnections);
            return std::make_shared<Answering>(
                world_.deadlines(), now,
                [this, dispatcher](Time at, const auto& from, http::Message message) {
                    take(at, dispatcher, from, message);
                });
        });
}

std::string Lists::address(int dispatcher) const {
    return "127.0.0.1:" + std::to_string(listeners_[static_cast<std::size_t>(dispatcher)]->address().port());
}

std::string Lists::entry(int dispatcher, int server, const Entry& entry) const {
    return "{\"name\":\"s" + std::to_string(server) + "\",\"address\":\"" + addressOf_(dispatcher, server) +
           "\",\"zone\":\"z" + std::to_string(entry.zone) + "\",\"type\":\"std\",\"group\":0,\"status\":\"" +
           entry.status + "\",\"weight\":1.0,\"since_ms\":" + std::to_string(entry.sinceMs) + "}";
}

std::string Lists::whole(int dispatcher, bool ofNow) const {
    const auto& entries = ofNow ? entries_ : frozen_;
    std::string out = "{\"index\":" + std::to_string(version_) + ",\"snapshot\":true,\"endpoints\":[";
    bool first = true;
    for (std::size_t s = 0; s < entries.size(); ++s)
        if (entries[s].status != "Gone")
            out +=
                (std::exchange(first, false) ? "" : ",") + entry(dispatcher, static_cast<int>(s), entries[s]);
    return out + "]}";
}

void Lists::change(Time now, int server, Entry entry) {
    Entry& known = entries_[static_cast<std::size_t>(server)];
    if (entry.zone < 0) entry.zone = known.zone;
    known = std::move(entry);
    changes_[++version_] = server;
    for (const Watch& watch : std::exchange(watches_, {}))
        if (const auto from = watch.from.lock()) tell(now, from, watch.dispatcher, watch.index);
    for (std::size_t d = 0; d < listeners_.size(); ++d) owe(now, static_cast<int>(d), now);
}

void Lists::relabel(Time now, int server, int zone) {
    Entry entry = entries_[static_cast<std::size_t>(server)];
    entry.zone = zone;
    change(now, server, entry);
}

void Lists::counts(Time now, int dispatcher) {
    for (std::size_t s = 0; s < entries_.size(); ++s)
        world_.books.told(now, dispatcher, static_cast<int>(s), entries_[s].status == "Ready");
}

// An agent's list counts at once, but for one that is silent. Where the service is asked, what it has counts
// 6 s after it had it and could be reached, whatever became of the calls meanwhile. While its lists are old
// it does not have it.
void Lists::owe(Time now, int dispatcher, Time made) {
    const auto d = static_cast<std::size_t>(dispatcher);
    const bool ask = world_.script.list.ask;
    const Time asked = std::max(made, back_) + kTold;
    const Time due = std::max(ask ? asked : made, deafUntil_[d]);
    if (!down_ && !stalled_ && !old_ && due <= now) return counts(now, dispatcher);
    world_.deadlines().once(std::max(due, now + 50ms),
                            [this, dispatcher, made](Time at) { owe(at, dispatcher, made); });
}

// One clock for silence: 6 s, or 2 s after the wait of a call that may wait.
void Lists::silence(Time now) {
    for (const Watch& watch : std::exchange(watches_, {})) {
        const Time told = std::max(now + kTold, watch.until + 2s);
        deafUntil_[static_cast<std::size_t>(watch.dispatcher)] = told;
        world_.deadlines().once(told, [this, d = watch.dispatcher](Time at) { counts(at, d); });
    }
}

void Lists::move(Time now) {
    for (std::size_t d = 0; d < listeners_.size(); ++d) {
        listeners_[d]->close();
        world_.path(static_cast<int>(d), Side::list)->breakAll(now);
        open(static_cast<int>(d));
        deafUntil_[d] = now + 4s;
    }
    watches_.clear(), queue_.clear();
}

void Lists::down(Time now, bool yes) {
    down_ = yes;
    if (!yes) back_ = now;
    for (int d = 0; d < static_cast<int>(listeners_.size()); ++d) {
        const auto path = world_.path(d, Side::list);
        path->refuse = yes;
        if (yes) path->breakAll(now);
    }
    if (yes) queue_.clear(), watches_.clear();
}

void Lists::stall(Time now, bool yes) {
    stalled_ = yes;
    if (!yes) back_ = now, work(now);
}

void Lists::anew(Time now) {
    down(now, true);
    version_ = floor_ = 1;
    changes_.clear();
    down(now, false);
}

void Lists::old(bool yes) {
    if (std::exchange(old_, yes) == yes) return;
    yes ? void(frozen_ = entries_) : void(back_ = world_.loop.now());
}

namespace {
// The same list as a person would write it.
std::string indented(const std::string& json) {
    std::string out;
    int depth = 0;
    bool quoted = false;
    for (const char c : json) {
        if (c == '"') quoted = !quoted;
        if (quoted) {
            out += c;
            continue;
        }
        if (c == '}' || c == ']') out += '\n' + std::string(static_cast<std::size_t>(--depth) * 2, ' ');
        out += c;
        if (c == '{' || c == '[') ++depth;
        if (c == ':') out += ' ';
        if (c == '{' || c == '[' || c == ',')
            out += "\n" + std::string(static_cast<std::size_t>(depth) * 2, ' ');
    }
    return out + "\n";
}
}  // namespace

void Lists::turnAway(Time now, const std::shared_ptr<Answering>& from) {
    world_.books.count(now, Count::turnedAway);
    char later[48] = "";
    if (world_.script.list.retryAfter > 0)
        std::snprintf(later, sizeof later, "Retry-After: %.3f\r\n", world_.script.list.retryAfter);
    from->reply(now, 503, "busy\n", later);
}

void Lists::take(Time now, int dispatcher, const std::shared_ptr<Answering>& from,
                 const http::Message& message) {
    world_.books.count(now, Count::listCalls);
    ++calls_, ++callsOf_[static_cast<std::size_t>(dispatcher)];
    Call call{from, dispatcher, -1, Nanos(0), now};
    const auto number = [&message](const char* field) -> std::int64_t {
        const std::size_t at = message.target.find(field);
        return at == std::string::npos ? -1 : std::atoll(message.target.c_str() + at + std::strlen(field));
    };
    call.index = number("index=");
    call.wait = std::chrono::milliseconds(std::max<std::int64_t>(0, number("wait=")));
    if (call.index < 0) world_.books.count(now, Count::wholeLists);
    if (heard_) heard_(now);
    if (busy_ > 0 && world_.draw() < busy_) return turnAway(now, from);
    // Where lists are pushed, an agent on the dispatcher's own machine answers at no cost.
    if (!world_.script.list.ask && !stalled_) return answer(now, call);
    if (queue_.size() >= world_.script.list.room) return turnAway(now, from);
    queue_.push_back(call);
    work(now);
}

void Lists::work(Time now) {
    if (working_ || stalled_ || queue_.empty()) return;
    working_ = true;
    const Nanos takes(static_cast<std::int64_t>(1e9 / pace_));
    world_.deadlines().once(now + takes, [this](Time at) {
        working_ = false;
        if (stalled_ || queue_.empty()) return;
        const Call call = queue_.front();
        queue_.pop_front();
        answer(at, call);
        work(at);
    });
}

void Lists::answer(Time now, const Call& call) {
    const auto from = call.from.lock();
    if (!from || from->state() != http::Server::State::waiting) return;
    if (now - call.came > world_.script.list.mostWait) return turnAway(now, from);
    // A version this service has not reached is another's count: it tells all it has.
    if (call.index >= floor_ && call.index == version_ && call.wait > Nanos(0))
        watches_.push_back({call.from, call.dispatcher, call.index, now + call.wait});
    else
        tell(now, from, call.dispatcher, call.index);
}

void Lists::tell(Time now, const std::shared_ptr<Answering>& to, int dispatcher, std::int64_t from) {
    const bool whole = from < floor_ || from > version_;
    std::string body;
    if (whole) {
        body = this->whole(dispatcher, !old_);
    } else {
        body = "{\"index\":" + std::to_string(version_) + ",\"snapshot\":false,\"endpoints\":[";
        bool first = true;
        for (auto at = changes_.upper_bound(from); at != changes_.end(); ++at)
            body += (std::exchange(first, false) ? "" : ",") +
                    entry(dispatcher, at->second, entries_[static_cast<std::size_t>(at->second)]);
        body += "]}";
    }
    // Only what stands in the answer is told by it: who was given an old list under this version hears
    // nothing of what changed before.
    const auto& entries = whole && old_ ? frozen_ : entries_;
    std::vector<bool> stands(entries.size(), whole);
    if (!whole)
        for (auto at = changes_.upper_bound(from); at != changes_.end(); ++at)
            stands[static_cast<std::size_t>(at->second)] = true;
    for (std::size_t s = 0; s < entries.size(); ++s)
        if (stands[s]) world_.books.told(now, dispatcher, static_cast<int>(s), entries[s].status == "Ready");
    to->reply(now, 200, world_.script.list.indented ? indented(body) : body,
              "Content-Type: application/json\r\n");
}

void Lists::sweep(Time now) {
    std::vector<Watch> over;
    const auto first =
        std::partition(watches_.begin(), watches_.end(), [now](const Watch& one) { return one.until > now; });
    over.assign(first, watches_.end());
    watches_.erase(first, watches_.end());
    for (const Watch& one : over)
        if (const auto from = one.from.lock()) tell(now, from, one.dispatcher, one.index);
    world_.deadlines().once(now + 20ms, [this](Time at) { sweep(at); });
}

}  // namespace amberswitch::lab
