#include "grpc/call.hpp"

#include <algorithm>
#include <cstring>

namespace amberswitch::grpc {

namespace {

// The module gives up a little before the deadline; an answer from then on is told as the deadline's.
constexpr Nanos kLate = std::chrono::milliseconds(10);
constexpr std::size_t kCut = 16 * 1024;  // what has gone is cut off a buffer in pieces of this size

void withPushback(http2::Fields& fields, long ms) {
    std::erase_if(fields, [](const auto& field) { return field.first == "grpc-retry-pushback-ms"; });
    fields.emplace_back("grpc-retry-pushback-ms", std::to_string(ms));
}

std::optional<long> advised(Nanos retryIn) {
    if (retryIn.count() <= 0) return std::nullopt;
    return static_cast<long>(std::max<std::int64_t>(1, retryIn.count() / 1'000'000));
}

}  // namespace

Call::Call(Core& core, CallCounters& counters, std::weak_ptr<http2::Session> session, http2::StreamId stream,
           std::size_t hold)
    : core_(core), counters_(counters), session_(std::move(session)), stream_(stream), hold_(hold) {
    ++counters_.calls, ++counters_.open;
}

Call::~Call() {
    request_ = {}, response_ = {};
    weigh();
    --counters_.open;
}

void Call::begin(Time now, Arrival arrival, http2::Fields metadata) {
    state_ = State::open;
    metadata_ = std::move(metadata);
    klass_ = arrival.request.klass;
    deadline_ = now + arrival.request.timeLeft;
    arrival.client = shared_from_this();
    arrival.job.attachment = shared_from_this();
    transaction_ = core_.arrive(now, std::move(arrival));
}

// A call has its connection for as long as it is owed anything.
bool Call::hasLeft() {
    const auto session = session_.lock();
    return !session || session->peerGone();
}

void Call::refuse(Time now, Status status, std::string_view why, std::optional<long> pushback) {
    finish(now, status, grpc::trailers(status, why, pushback));
}

void Call::weigh() {
    const std::size_t now = request_.size() + response_.size();
    counters_.held += now - weighed_;
    counters_.mostHeld = std::max(counters_.mostHeld, counters_.held);
    weighed_ = now;
}

Call::Reader* Call::readerOf(const Carrier& carrier) {
    for (Reader& reader : readers_)
        if (reader.carrier == &carrier) return &reader;
    return nullptr;
}

void Call::join(Carrier& carrier) {
    readers_.push_back({&carrier, base_});
}

void Call::part(Time now, Carrier& carrier) {
    std::erase_if(readers_, [&](const Reader& reader) { return reader.carrier == &carrier; });
    if (answering_ == &carrier) answering_ = nullptr;
    if (state_ == State::open) open(now);
}

std::size_t Call::read(Time now, Carrier& carrier, std::span<char> into, bool& last) {
    Reader* const reader = readerOf(carrier);
    if (!reader || reader->at < base_) return 0;
    const std::size_t from = static_cast<std::size_t>(reader->at - base_);
    const std::size_t n = std::min(into.size(), request_.size() - from);
    std::memcpy(into.data(), request_.data() + from, n);
    reader->at += n;
    last = requestEnded_ && reader->at == base_ + request_.size();
    if (!sealed_ && reader->at > hold_) {
        sealed_ = true, ++counters_.sealed;
        core_.seal(transaction_);
    }
    if (n > 0 && state_ == State::open) open(now);
    return n;
}

bool Call::readAll(const Carrier& carrier) const {
    for (const Reader& reader : readers_)
        if (reader.carrier == &carrier) return requestEnded_ && reader.at == base_ + request_.size();
    return false;
}

// While all is held, the furthest pass opens the client's window; after that the slowest does, and what every
// pass has taken is let go.
void Call::open(Time now) {
    if (readers_.empty()) return;
    const auto by = [](const Reader& a, const Reader& b) { return a.at < b.at; };
    const std::uint64_t to = sealed_ ? std::min_element(readers_.begin(), readers_.end(), by)->at
                                     : std::max_element(readers_.begin(), readers_.end(), by)->at;
    if (sealed_ && (to - base_ >= kCut || to == base_ + request_.size())) {
        request_.erase(0, static_cast<std::size_t>(to - base_));
        if (request_.empty()) request_ = std::string();
        base_ = to;
        weigh();
    }
    if (to <= opened_) return;
    const auto bytes = static_cast<std::size_t>(to - opened_);
    opened_ = to;
    if (const auto session = session_.lock()) session->consumed(now, stream_, bytes);
}

void Call::received(Time now, std::string_view bytes) {
    if (state_ != State::open) {
        if (const auto session = session_.lock()) session->consumed(now, stream_, bytes.size());
        return;
    }
    request_.append(bytes);
    weigh();
    for (std::size_t i = 0; i < readers_.size(); ++i) readers_[i].carrier->more(now);
}

void Call::receivedAll(Time now, http2::Fields) {  // the protocol has no trailers of requests
    requestEnded_ = true;
    for (std::size_t i = 0; i < readers_.size(); ++i) readers_[i].carrier->more(now);
}

void Call::head(Time now, Carrier& carrier, std::uint32_t pass, http2::Fields fields) {
    if (state_ != State::open || headSent_) return;
    answering_ = &carrier, headSent_ = true, sealed_ = true;
    ++counters_.committed;
    core_.commit(now, transaction_, pass);
    open(now);
    if (const auto session = session_.lock()) session->answer(now, stream_, fields, false);
}

bool Call::deliver(Time now, Carrier& carrier, std::string_view bytes) {
    if (state_ != State::open || answering_ != &carrier) return false;
    response_.append(bytes);
    weigh();
    if (const auto session = session_.lock()) session->resume(now, stream_);
    return true;
}

std::size_t Call::pull(Time now, std::span<char> into, bool& last) {
    const std::size_t n = std::min(into.size(), response_.size() - responseAt_);
    std::memcpy(into.data(), response_.data() + responseAt_, n);
    responseAt_ += n;
    if (responseAt_ == response_.size())
        response_ = std::string(), responseAt_ = 0;
    else if (responseAt_ >= kCut)
        response_.erase(0, responseAt_), responseAt_ = 0;
    weigh();
    last = finished_ && response_.empty();
    if (n > 0 && answering_) answering_->taken(now, n);
    return n;
}

http2::Fields Call::notTaken() {
    ++counters_.orphaned;
    cutShort();
    final_ = {};
    return grpc::trailers(Status::cancelled, "the answer was not taken in time",
                          repeatHarms() ? std::optional<long>(-1) : std::nullopt);
}

void Call::closed(Time now, const http2::Ending&) {
    const State was = std::exchange(state_, State::gone);
    if (was == State::answered && !(response_.empty() && final_.empty())) ++counters_.orphaned;
    response_ = {}, responseAt_ = 0;
    if (was != State::open) return;
    ++counters_.cancelled;
    core_.clientLeft(now, transaction_);
}

bool Call::late(Time now) const {
    return now + kLate >= deadline_;
}

bool Call::repeatHarms() const {
    const auto& klass = core_.site().module.classes[klass_];
    return klass.idempotency != heronmount::Idempotency::safe &&
           (klass.idempotency != heronmount::Idempotency::keyed ||
            klass.dedupScope != heronmount::DedupScope::all);
}

// This side ends the call: what the client has not taken is void, and its window must not hold up the status.
void Call::cutShort() {
    cut_ = true;
    response_ = {}, responseAt_ = 0;
    weigh();
}

void Call::served(Time now, std::string) {
    if (own_) return finish(now, own_->status, std::move(own_->fields));
    finish(now, Status::unknown, grpc::trailers(Status::unknown, "the answer has no end"));
}

void Call::unavailable(Time now, Nanos retryIn) {
    cutShort();
    const bool overdue = late(now);
    const Status status = overdue ? Status::deadlineExceeded : Status::unavailable;
    finish(now, status,
           grpc::trailers(status, overdue ? "no job server answered in time" : "unavailable, try again",
                          advised(retryIn)));
}

void Call::failed(Time now, std::string_view why) {
    http2::Fields fields;
    Status status = late(now) ? Status::deadlineExceeded : Status::unknown;
    // Part of an answer may be on its way: then only the end of that same answer may follow it.
    if (own_ && (headSent_ || !late(now))) {
        status = own_->status, fields = std::move(own_->fields);
    } else {
        cutShort();
        fields = grpc::trailers(status, !why.empty() ? why
                                        : late(now)  ? "no answer came in time"
                                                     : "the job failed; it may have run");
    }
    if (repeatHarms()) {
        // Guards against clients that repeat by themselves what may have run: UNAVAILABLE would invite them.
        if (status == Status::unavailable) {
            status = Status::unknown;
            for (auto& [name, value] : fields)
                if (name == "grpc-status") value = std::to_string(static_cast<int>(status));
        }
        withPushback(fields, -1);
    }
    finish(now, status, std::move(fields));
}

void Call::finish(Time now, Status status, http2::Fields fields) {
    ++counters_.statuses[static_cast<std::size_t>(status)];
    if (state_ == State::gone) return;
    state_ = State::answered;
    request_ = {}, own_.reset();
    weigh();
    const auto session = session_.lock();
    if (!session) return;
    if (headSent_ && cut_) return session->cutShort(now, stream_, fields);
    if (headSent_) {
        final_ = std::move(fields), finished_ = true;
        session->complete(now, stream_, deadline_);
        return session->resume(now, stream_);
    }
    http2::Fields head = {{":status", "200"}};
    if (!http2::find(fields, "content-type")) head.emplace_back("content-type", "application/grpc");
    head.insert(head.end(), std::make_move_iterator(fields.begin()), std::make_move_iterator(fields.end()));
    session->answer(now, stream_, head, true);
}

}  // namespace amberswitch::grpc
