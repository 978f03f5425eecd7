#include "cluster/edge/callbacks.hpp"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <charconv>
#include <utility>

namespace amberswitch::cluster {
namespace {

constexpr std::size_t kMostOpen = 2000;
constexpr Millis kCallTimeout{3000};
constexpr Millis kGiveUpAfter{8000};
constexpr Millis kFirstBackoff{100};
constexpr Millis kLongestBackoff{2000};
constexpr std::string_view kScheme = "http://";

std::string bodyOf(const CallbackWork& work) {
    rapidjson::StringBuffer buffer;
    rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
    const auto text = [&writer](const std::string& value) {
        writer.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
    };
    writer.StartObject();
    writer.Key("uid");
    text(work.id);
    writer.Key("phase");
    writer.String(work.phase == Phase::completed ? "completed" : "dead_letter");
    if (work.phase == Phase::completed) {
        writer.Key("stamp");
        text(work.stamp);
    }
    writer.EndObject();
    return {buffer.GetString(), buffer.GetSize()};
}

}  // namespace

std::optional<CallbackUrl> parseCallbackUrl(const std::string& url) {
    if (url.compare(0, kScheme.size(), kScheme) != 0) return std::nullopt;
    const std::size_t host = kScheme.size();
    const std::size_t slash = std::min(url.find('/', host), url.size());
    const std::string authority = url.substr(host, slash - host);
    const std::size_t colon = authority.find(':');
    CallbackUrl parsed;
    parsed.address.ip = authority.substr(0, colon);
    parsed.address.port = 80;
    if (parsed.address.ip.empty()) return std::nullopt;
    if (colon != std::string::npos) {
        const char* const first = authority.data() + colon + 1;
        const char* const last = authority.data() + authority.size();
        const auto [end, error] = std::from_chars(first, last, parsed.address.port);
        if (error != std::errc() || end != last || parsed.address.port == 0) return std::nullopt;
    }
    parsed.target = slash < url.size() ? url.substr(slash) : "/";
    return parsed;
}

Callbacks::Callbacks(Scheduler& scheduler, HttpClient& http, EdgeCounters& counters, std::uint64_t seed,
                     Ended ended)
    : scheduler_(scheduler),
      http_(http),
      counters_(counters),
      random_(seed),
      ended_(std::move(ended)),
      plan_(planCallbacks(1)) {}

void Callbacks::setEdges(std::uint32_t edges) {
    plan_ = planCallbacks(edges);
}

bool Callbacks::hasRoom() const {
    return !leaving_ && open_ < kMostOpen;
}

void Callbacks::begin(CallbackWork work) {
    ++open_;
    const std::optional<CallbackUrl> url = parseCallbackUrl(work.url);
    if (!url || leaving_ || open_ > kMostOpen) {
        // Nobody can be told at a URL that is none; the message's end stands all the same.
        const bool taken = !url;
        scheduler_.post([this, work = std::move(work), taken] { end(work, taken); });
        return;
    }
    Item item;
    item.work = std::move(work);
    item.give_up_at = scheduler_.now() + kGiveUpAfter;
    receivers_[url->address].queue.push_back(std::move(item));
    pump(url->address);
}

void Callbacks::leave() {
    leaving_ = true;
    for (auto& [address, receiver] : receivers_) {
        const std::deque<Item> queue = std::exchange(receiver.queue, {});
        receiver.timer.reset();
        for (const Item& item : queue) end(item.work, false);
    }
}

std::size_t Callbacks::allowed(const Receiver& receiver) const {
    // One that refused connections gets a single one until it has answered.
    if (receiver.failures > 0) return 1;
    return plan_.connections_per_sender;
}

void Callbacks::pump(NodeAddress address) {
    Receiver& receiver = receivers_[address];
    expire(receiver);
    const SteadyTime now = scheduler_.now();
    if (now >= receiver.paused_until) {
        for (auto next = receiver.queue.begin(); next != receiver.queue.end();) {
            if (receiver.in_flight >= allowed(receiver)) break;
            if (next->not_before > now) {
                ++next;
                continue;
            }
            Item item = std::move(*next);
            next = receiver.queue.erase(next);
            post(address, receiver, std::move(item));
        }
    }
    arm(address, receiver);
    if (receiver.queue.empty() && receiver.in_flight == 0) receivers_.erase(address);
}

void Callbacks::expire(Receiver& receiver) {
    const SteadyTime now = scheduler_.now();
    std::vector<CallbackWork> late;
    std::erase_if(receiver.queue, [&](Item& item) {
        if (item.give_up_at > now) return false;
        late.push_back(std::move(item.work));
        return true;
    });
    for (const CallbackWork& work : late) end(work, false);
}

void Callbacks::post(const NodeAddress& address, Receiver& receiver, Item item) {
    ++receiver.in_flight;
    ++counters_.callback_posts;
    HttpCall call;
    call.to = address;
    call.timeout = kCallTimeout;
    call.max_connections = plan_.connections_per_sender;
    call.request.method = "POST";
    call.request.target = parseCallbackUrl(item.work.url)->target;
    call.request.headers = {{"Host", address.text()}, {"Content-Type", "application/json"}};
    call.request.body = bodyOf(item.work);
    http_.send(std::move(call), [this, address, kept = std::move(item)](const HttpOutcome& outcome) mutable {
        answered(address, std::move(kept), outcome);
    });
}

void Callbacks::answered(const NodeAddress& address, Item item, const HttpOutcome& outcome) {
    Receiver& receiver = receivers_[address];
    --receiver.in_flight;
    const bool answered = outcome.verdict == CallStatus::answered;
    const bool taken = answered && (outcome.response.status == 200 || outcome.response.status == 400);
    // A receiver resets connections beyond those that it takes, also after it has let them connect.
    const bool refused = !answered && !outcome.timed_out;
    if (refused) {
        ++receiver.failures;
        receiver.paused_until = scheduler_.now() + backoff(receiver.failures);
    } else if (answered) {
        receiver.failures = 0;
    }
    if (taken || leaving_) {
        end(item.work, taken);
    } else {
        ++item.failures;
        item.not_before = scheduler_.now() + backoff(item.failures);
        receiver.queue.push_front(std::move(item));
    }
    pump(address);
}

void Callbacks::arm(const NodeAddress& address, Receiver& receiver) {
    receiver.timer.reset();
    if (receiver.queue.empty()) return;
    if (receiver.in_flight >= allowed(receiver)) return;  // the next answer goes on
    SteadyTime next = SteadyTime::max();
    for (const Item& item : receiver.queue) {
        next = std::min(next, std::min(item.give_up_at, std::max(item.not_before, receiver.paused_until)));
    }
    const auto wait = std::chrono::ceil<Millis>(next - scheduler_.now());
    receiver.timer = scheduler_.after(std::max(wait, Millis(1)), [this, to = address] { pump(to); });
}

void Callbacks::end(const CallbackWork& work, bool taken) {
    --open_;
    ++(taken ? counters_.callbacks_taken : counters_.callbacks_failed);
    ended_(work, taken);
}

Millis Callbacks::backoff(int failures) {
    const int doublings = std::min(failures - 1, 10);
    const Millis longest = std::min(kLongestBackoff, kFirstBackoff * (1 << doublings));
    const double jitter = std::uniform_real_distribution<double>(0.5, 1.0)(random_);
    return Millis(static_cast<std::int64_t>(jitter * static_cast<double>(longest.count())));
}

}  // namespace amberswitch::cluster
