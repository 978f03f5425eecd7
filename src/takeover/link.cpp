#include "takeover/link.hpp"

#include "link.pb.h"

namespace amberswitch::takeover {

namespace {

constexpr std::size_t kLength = 4;

std::size_t lengthOf(std::string_view four) {
    std::size_t out = 0;
    for (const char byte : four) out = out << 8 | static_cast<unsigned char>(byte);
    return out;
}

}  // namespace

const char* nameOf(Fault fault) {
    constexpr const char* kNames[] = {"none",
                                      "the other process is gone",
                                      "the other process says nothing",
                                      "what came is not the protocol",
                                      "the other process speaks another version",
                                      "the other process is another dispatcher's"};
    return kNames[static_cast<std::size_t>(fault)];
}

Link::Link(Deadlines& deadlines, Time now, std::string name, Events events)
    : deadlines_(deadlines), name_(std::move(name)), events_(std::move(events)) {
    handshakeTimer_.arm(deadlines_, now + kHandshakeTimeout, [this](Time at) { finish(at, Fault::silent); });
    told::Frame frame;
    frame.mutable_hello()->set_version(kVersion);
    frame.mutable_hello()->set_name(name_);
    put(frame);
}

void Link::opened(Time) {
    reached_ = true;
    wake();
}

template <class Frame>
void Link::put(const Frame& frame) {
    if (over_) return;
    const std::string body = frame.SerializeAsString();
    std::string head;
    for (int shift = 24; shift >= 0; shift -= 8) head += static_cast<char>(body.size() >> shift & 0xFF);
    out().put(head + body);
    wake();
}

void Link::sendRoster(std::string list, const std::vector<std::string>& ids) {
    told::Frame frame;
    auto& farm = *frame.mutable_farm();
    // The peer rejects frames over the limit. Without the list it starts cold.
    if (list.size() < kMaxFrameBytes / 2) farm.set_list(std::move(list));
    std::size_t bytes = 0;
    for (const std::string& id : ids)
        if ((bytes += id.size() + 8) < kMaxFrameBytes / 4) farm.add_ids(id);
    put(frame);
}

void Link::sendServing() {
    told::Frame frame;
    frame.mutable_serving();
    put(frame);
}

void Link::sendUsage(std::size_t descriptors) {
    told::Frame frame;
    frame.mutable_usage()->set_descriptors(static_cast<std::uint32_t>(descriptors));
    put(frame);
}

void Link::ask(Time now, const std::string& body, std::uint32_t hops, Reply reply) {
    // Limits the calls to a peer that never answers.
    if (over_ || pending_.size() >= kMaxPendingCallbacks || out().size() > kMaxUnsentBytes)
        return reply(now, CallbackResult::unknown);
    const std::uint64_t number = ++lastNumber_;
    PendingCallback& asked = pending_[number];
    asked.reply = std::move(reply);
    asked.due.arm(deadlines_, now + kAnswerTimeout, [this, number](Time at) {
        const Reply late = std::move(pending_.at(number).reply);
        pending_.erase(number);
        late(at, CallbackResult::unknown);
    });
    told::Frame frame;
    auto& call = *frame.mutable_callback();
    call.set_number(number), call.set_body(body), call.set_hops(hops);
    put(frame);
}

void Link::received(Time now) {
    while (!over_ && !in().empty()) {
        const auto bytes = in().front();
        const std::size_t whole = frame_.size() < kLength
                                      ? kLength
                                      : kLength + lengthOf(std::string_view(frame_).substr(0, kLength));
        const std::size_t part = std::min(bytes.size(), whole - frame_.size());
        frame_.append(bytes.data(), part);
        in().taken(part);
        if (frame_.size() < kLength) continue;
        const std::size_t length = lengthOf(std::string_view(frame_).substr(0, kLength));
        if (length == 0 || length > kMaxFrameBytes) return finish(now, Fault::garbled);
        if (frame_.size() < kLength + length) continue;
        const std::string body = std::exchange(frame_, {}).substr(kLength);
        take(now, body);
    }
    if (!over_) wake();  // there is space for input again
}

void Link::take(Time now, std::string_view bytes) {
    told::Frame frame;
    if (!frame.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return finish(now, Fault::garbled);
    if (!handshakeDone_) {
        if (!frame.has_hello()) return finish(now, Fault::garbled);
        if (frame.hello().version() != kVersion) return finish(now, Fault::version);
        if (frame.hello().name() != name_) return finish(now, Fault::stranger);
        handshakeDone_ = true;
        handshakeTimer_.disarm();
        return events_.met(now);
    }
    switch (frame.what_case()) {
        case told::Frame::kFarm: {
            std::vector<std::string> ids(frame.farm().ids().begin(), frame.farm().ids().end());
            return events_.roster(now, frame.farm().list(), std::move(ids));
        }
        case told::Frame::kServing:
            return events_.serving(now);
        case told::Frame::kUsage:
            descriptors_ = frame.usage().descriptors();
            return;
        case told::Frame::kCallback: {
            const std::uint64_t number = frame.callback().number();
            return events_.callback(now, frame.callback().body(), frame.callback().hops(),
                                    [link = weak_from_this(), number](Time, CallbackResult word) {
                                        const auto self = link.lock();
                                        if (!self || word == CallbackResult::unknown)
                                            return;  // the peer times out
                                        told::Frame answer;
                                        answer.mutable_taken()->set_number(number);
                                        answer.mutable_taken()->set_owned(word == CallbackResult::owned);
                                        self->put(answer);
                                    });
        }
        case told::Frame::kTaken: {
            const auto at = pending_.find(frame.taken().number());
            if (at == pending_.end()) return;  // the call has timed out
            const Reply reply = std::move(at->second.reply);
            pending_.erase(at);
            return reply(now, frame.taken().owned() ? CallbackResult::owned : CallbackResult::unowned);
        }
        case told::Frame::kHello:
        case told::Frame::WHAT_NOT_SET:
            break;  // an unknown frame of a later revision is ignored
    }
}

void Link::ended(Time now, End) {
    finish(now, handshakeDone_ ? Fault::gone : Fault::silent);
}

// If the peer is gone, pending callbacks are answered as unowned, since the owner of the job no longer
// exists.
void Link::finish(Time now, Fault why) {
    if (std::exchange(over_, true)) return;
    handshakeTimer_.disarm();
    drop();
    auto asked = std::exchange(pending_, {});
    for (auto& [number, one] : asked) one.due.disarm();
    for (auto& [number, one] : asked)
        one.reply(now, why == Fault::gone ? CallbackResult::unowned : CallbackResult::unknown);
    events_.ended(now, why);
}

}  // namespace amberswitch::takeover
