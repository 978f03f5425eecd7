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
    hello_.arm(deadlines_, now + kHello, [this](Time at) { finish(at, Fault::silent); });
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

void Link::tellFarm(std::string list, const std::vector<std::string>& ids) {
    told::Frame frame;
    auto& farm = *frame.mutable_farm();
    // Guards against a list that the other side would take for garbage: without it, it begins cold.
    if (list.size() < kMostFrame / 2) farm.set_list(std::move(list));
    std::size_t bytes = 0;
    for (const std::string& id : ids)
        if ((bytes += id.size() + 8) < kMostFrame / 4) farm.add_ids(id);
    put(frame);
}

void Link::tellServing() {
    told::Frame frame;
    frame.mutable_serving();
    put(frame);
}

void Link::tellUsage(std::size_t descriptors) {
    told::Frame frame;
    frame.mutable_usage()->set_descriptors(static_cast<std::uint32_t>(descriptors));
    put(frame);
}

void Link::ask(Time now, const std::string& body, std::uint32_t hops, Said said) {
    // Guards against a peer that takes calls and never says what became of them.
    if (over_ || asked_.size() >= kMostAsked || out().size() > kMostOwed) return said(now, Word::unknown);
    const std::uint64_t number = ++lastAsked_;
    Asked& asked = asked_[number];
    asked.said = std::move(said);
    asked.due.arm(deadlines_, now + kWord, [this, number](Time at) {
        const Said late = std::move(asked_.at(number).said);
        asked_.erase(number);
        late(at, Word::unknown);
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
        if (length == 0 || length > kMostFrame) return finish(now, Fault::garbled);
        if (frame_.size() < kLength + length) continue;
        const std::string body = std::exchange(frame_, {}).substr(kLength);
        take(now, body);
    }
    if (!over_) wake();  // there is room to read again
}

void Link::take(Time now, std::string_view bytes) {
    told::Frame frame;
    if (!frame.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return finish(now, Fault::garbled);
    if (!met_) {
        if (!frame.has_hello()) return finish(now, Fault::garbled);
        if (frame.hello().version() != kVersion) return finish(now, Fault::version);
        if (frame.hello().name() != name_) return finish(now, Fault::stranger);
        met_ = true;
        hello_.disarm();
        return events_.met(now);
    }
    switch (frame.what_case()) {
        case told::Frame::kFarm: {
            std::vector<std::string> ids(frame.farm().ids().begin(), frame.farm().ids().end());
            return events_.farm(now, frame.farm().list(), std::move(ids));
        }
        case told::Frame::kServing:
            return events_.serving(now);
        case told::Frame::kUsage:
            descriptors_ = frame.usage().descriptors();
            return;
        case told::Frame::kCallback: {
            const std::uint64_t number = frame.callback().number();
            return events_.callback(now, frame.callback().body(), frame.callback().hops(),
                                    [link = weak_from_this(), number](Time, Word word) {
                                        const auto self = link.lock();
                                        if (!self || word == Word::unknown)
                                            return;  // its wait ends by itself
                                        told::Frame answer;
                                        answer.mutable_taken()->set_number(number);
                                        answer.mutable_taken()->set_owned(word == Word::owned);
                                        self->put(answer);
                                    });
        }
        case told::Frame::kTaken: {
            const auto at = asked_.find(frame.taken().number());
            if (at == asked_.end()) return;  // it came too late
            const Said said = std::move(at->second.said);
            asked_.erase(at);
            return said(now, frame.taken().owned() ? Word::owned : Word::nobodys);
        }
        case told::Frame::kHello:
        case told::Frame::WHAT_NOT_SET:
            break;  // of a later form of this version: nothing that need be understood
    }
}

void Link::ended(Time now, End) {
    finish(now, met_ ? Fault::gone : Fault::silent);
}

// Who waits for a word hears that nobody has the job: its owner is gone.
void Link::finish(Time now, Fault why) {
    if (std::exchange(over_, true)) return;
    hello_.disarm();
    drop();
    auto asked = std::exchange(asked_, {});
    for (auto& [number, one] : asked) one.due.disarm();
    for (auto& [number, one] : asked) one.said(now, why == Fault::gone ? Word::nobodys : Word::unknown);
    events_.ended(now, why);
}

}  // namespace amberswitch::takeover
