#include "cluster/edge/callback_sender.hpp"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <charconv>
#include <utility>

namespace amberswitch::cluster {
namespace {

constexpr std::size_t kMaxOpenCallbacks = 2000;
constexpr Millis kRequestTimeout{3000};
constexpr Millis kDeliveryTimeout{8000};
constexpr Millis kFirstBackoff{100};
constexpr Millis kMaxBackoff{2000};
constexpr std::string_view kScheme = "http://";

std::string jsonBody(const CallbackJob& job) {
    rapidjson::StringBuffer buffer;
    rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
    const auto text = [&writer](const std::string& value) {
        writer.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
    };
    writer.StartObject();
    writer.Key("uid");
    text(job.id);
    writer.Key("phase");
    writer.String(job.phase == Phase::completed ? "completed" : "dead_letter");
    if (job.phase == Phase::completed) {
        writer.Key("stamp");
        text(job.stamp);
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

CallbackSender::CallbackSender(Scheduler& scheduler, HttpClient& http, EdgeCounters& counters,
                               std::uint64_t seed, DoneHandler on_done)
    : scheduler_(scheduler),
      http_(http),
      counters_(counters),
      random_(seed),
      on_done_(std::move(on_done)),
      plan_(planCallbacks(1)) {}

void CallbackSender::setEdgeCount(std::uint32_t edges) {
    plan_ = planCallbacks(edges);
}

bool CallbackSender::hasRoom() const {
    return !leaving_ && open_ < kMaxOpenCallbacks;
}

void CallbackSender::enqueue(CallbackJob job) {
    ++open_;
    const std::optional<CallbackUrl> url = parseCallbackUrl(job.url);
    if (!url || leaving_ || open_ > kMaxOpenCallbacks) {
        // An invalid URL has no receiver: the call-back counts as delivered, and the result of the message
        // stands.
        const bool delivered = !url;
        scheduler_.post([this, job = std::move(job), delivered] { finish(job, delivered); });
        return;
    }
    QueuedCallback item;
    item.job = std::move(job);
    item.expires_at = scheduler_.now() + kDeliveryTimeout;
    receivers_[url->address].queue.push_back(std::move(item));
    sendDue(url->address);
}

void CallbackSender::leave() {
    leaving_ = true;
    for (auto& [address, receiver] : receivers_) {
        const std::deque<QueuedCallback> queue = std::exchange(receiver.queue, {});
        receiver.timer.reset();
        for (const QueuedCallback& item : queue) finish(item.job, false);
    }
}

std::size_t CallbackSender::maxConnections(const Receiver& receiver) const {
    // A receiver that refused connections gets a single connection until it has answered.
    if (receiver.failures > 0) return 1;
    return plan_.connections_per_sender;
}

void CallbackSender::sendDue(NodeAddress address) {
    Receiver& receiver = receivers_[address];
    dropExpired(receiver);
    const SteadyTime now = scheduler_.now();
    if (now >= receiver.paused_until) {
        for (auto next = receiver.queue.begin(); next != receiver.queue.end();) {
            if (receiver.in_flight >= maxConnections(receiver)) break;
            if (next->not_before > now) {
                ++next;
                continue;
            }
            QueuedCallback item = std::move(*next);
            next = receiver.queue.erase(next);
            post(address, receiver, std::move(item));
        }
    }
    armTimer(address, receiver);
    if (receiver.queue.empty() && receiver.in_flight == 0) receivers_.erase(address);
}

void CallbackSender::dropExpired(Receiver& receiver) {
    const SteadyTime now = scheduler_.now();
    std::vector<CallbackJob> expired_jobs;
    std::erase_if(receiver.queue, [&](QueuedCallback& item) {
        if (item.expires_at > now) return false;
        expired_jobs.push_back(std::move(item.job));
        return true;
    });
    for (const CallbackJob& job : expired_jobs) finish(job, false);
}

void CallbackSender::post(const NodeAddress& address, Receiver& receiver, QueuedCallback item) {
    ++receiver.in_flight;
    ++counters_.callback_posts;
    HttpCall call;
    call.to = address;
    call.timeout = kRequestTimeout;
    call.max_connections = plan_.connections_per_sender;
    call.request.method = "POST";
    call.request.target = parseCallbackUrl(item.job.url)->target;
    call.request.headers = {{"Host", address.text()}, {"Content-Type", "application/json"}};
    call.request.body = jsonBody(item.job);
    http_.send(std::move(call), [this, address, kept = std::move(item)](const HttpOutcome& outcome) mutable {
        onOutcome(address, std::move(kept), outcome);
    });
}

void CallbackSender::onOutcome(const NodeAddress& address, QueuedCallback item, const HttpOutcome& outcome) {
    Receiver& receiver = receivers_[address];
    --receiver.in_flight;
    const bool answered = outcome.verdict == CallStatus::answered;
    const bool delivered = answered && (outcome.response.status == 200 || outcome.response.status == 400);
    // A receiver may reset connections above its limit even after it has accepted them.
    const bool refused = !answered && !outcome.timed_out;
    if (refused) {
        ++receiver.failures;
        receiver.paused_until = scheduler_.now() + backoff(receiver.failures);
    } else if (answered) {
        receiver.failures = 0;
    }
    if (delivered || leaving_) {
        finish(item.job, delivered);
    } else {
        ++item.failures;
        item.not_before = scheduler_.now() + backoff(item.failures);
        receiver.queue.push_front(std::move(item));
    }
    sendDue(address);
}

void CallbackSender::armTimer(const NodeAddress& address, Receiver& receiver) {
    receiver.timer.reset();
    if (receiver.queue.empty()) return;
    if (receiver.in_flight >= maxConnections(receiver)) return;  // the next response calls sendDue() again
    SteadyTime next = SteadyTime::max();
    for (const QueuedCallback& item : receiver.queue) {
        next = std::min(next, std::min(item.expires_at, std::max(item.not_before, receiver.paused_until)));
    }
    const auto wait = std::chrono::ceil<Millis>(next - scheduler_.now());
    receiver.timer = scheduler_.after(std::max(wait, Millis(1)), [this, to = address] { sendDue(to); });
}

void CallbackSender::finish(const CallbackJob& job, bool delivered) {
    --open_;
    ++(delivered ? counters_.callbacks_taken : counters_.callbacks_failed);
    on_done_(job, delivered);
}

Millis CallbackSender::backoff(int failures) {
    const int doublings = std::min(failures - 1, 10);
    const Millis max_delay = std::min(kMaxBackoff, kFirstBackoff * (1 << doublings));
    const double jitter = std::uniform_real_distribution<double>(0.5, 1.0)(random_);
    return Millis(static_cast<std::int64_t>(jitter * static_cast<double>(max_delay.count())));
}

}  // namespace amberswitch::cluster
