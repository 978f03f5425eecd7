#include "gearman/packet.hpp"

#include <algorithm>
#include <utility>

namespace amberswitch::gearman {

namespace {

void put32(std::string& out, std::uint32_t value) {
    for (int shift = 24; shift >= 0; shift -= 8) out += static_cast<char>(value >> shift & 0xff);
}

std::uint32_t get32(std::string_view bytes) {
    std::uint32_t value = 0;
    for (int i = 0; i < 4; ++i)
        value = value << 8 | static_cast<unsigned char>(bytes[static_cast<std::size_t>(i)]);
    return value;
}

}  // namespace

std::optional<std::size_t> argumentsOf(Type type) {
    switch (type) {
        case Type::resetAbilities:
        case Type::preSleep:
        case Type::noop:
        case Type::grabJob:
        case Type::noJob:
        case Type::allYours:
        case Type::grabJobUniq:
        case Type::grabJobAll:
            return 0;
        case Type::canDo:
        case Type::cantDo:
        case Type::jobCreated:
        case Type::workFail:
        case Type::getStatus:
        case Type::echoReq:
        case Type::echoRes:
        case Type::setClientId:
        case Type::optionReq:
        case Type::optionRes:
        case Type::getStatusUnique:
            return 1;
        case Type::workComplete:
        case Type::error:
        case Type::canDoTimeout:
        case Type::workException:
        case Type::workData:
        case Type::workWarning:
            return 2;
        case Type::submitJob:
        case Type::jobAssign:
        case Type::workStatus:
        case Type::submitJobBg:
        case Type::submitJobHigh:
        case Type::submitJobHighBg:
        case Type::submitJobLow:
        case Type::submitJobLowBg:
            return 3;
        case Type::jobAssignUniq:
        case Type::submitJobEpoch:
        case Type::submitReduceJob:
        case Type::submitReduceJobBg:
            return 4;
        case Type::statusRes:
        case Type::jobAssignAll:
            return 5;
        case Type::statusResUnique:
            return 6;
        case Type::submitJobSched:
            return 8;
    }
    return std::nullopt;
}

std::string encode(bool request, Type type, std::initializer_list<std::string_view> arguments) {
    std::size_t size = arguments.size() > 0 ? arguments.size() - 1 : 0;
    for (const auto argument : arguments) size += argument.size();
    std::string out(request ? std::string_view("\0REQ", 4) : std::string_view("\0RES", 4));
    out.reserve(kHeader + size);
    put32(out, static_cast<std::uint32_t>(type));
    put32(out, static_cast<std::uint32_t>(size));
    bool first = true;
    for (const auto argument : arguments) {
        if (!std::exchange(first, false)) out += '\0';
        out += argument;
    }
    return out;
}

std::size_t Decoder::feed(std::string_view bytes) {
    std::size_t at = 0;
    while (at < bytes.size()) {
        const std::string_view rest = bytes.substr(at);
        if (state_ == State::begin) {
            state_ = rest[0] == '\0' ? State::head : State::text;
        } else if (state_ == State::head) {
            const std::size_t n = std::min(kHeader - head_.size(), rest.size());
            head_.append(rest.substr(0, n)), at += n;
            if (head_.size() == kHeader) parseHead();
        } else if (state_ == State::body) {
            const std::size_t n = std::min(left_, rest.size());
            body_.append(rest.substr(0, n)), at += n, left_ -= n;
            if (left_ == 0) split();
        } else if (state_ == State::text) {
            const std::size_t end = rest.find('\n');
            const std::size_t n = end == std::string_view::npos ? rest.size() : end + 1;
            text_.append(rest.substr(0, n)), at += n;
            if (text_.size() > kMostLine)
                fail("the command is too long");
            else if (end != std::string_view::npos)
                state_ = State::line;
        } else {
            break;
        }
    }
    return at;
}

void Decoder::parseHead() {
    const std::string_view magic(head_.data(), 4);
    const auto type = static_cast<Type>(get32(std::string_view(head_).substr(4, 4)));
    left_ = get32(std::string_view(head_).substr(8, 4));
    if (magic != (requests_ ? std::string_view("\0REQ", 4) : std::string_view("\0RES", 4)))
        return fail("bad magic");
    if (!argumentsOf(type)) return fail("unknown packet type");
    if (left_ > kMostPacket) return fail("the packet is too long");
    packet_ = {type, {}};
    state_ = State::body;
    if (left_ == 0) split();
}

void Decoder::split() {
    const std::size_t count = *argumentsOf(packet_.type);
    std::string_view rest = body_;
    if (count == 0 && !rest.empty()) return fail("the packet's length does not fit its type");
    for (std::size_t i = 0; i + 1 < count; ++i) {
        const std::size_t end = rest.find('\0');
        if (end == std::string_view::npos) return fail("the packet's length does not fit its type");
        packet_.arguments.emplace_back(rest.substr(0, end));
        rest.remove_prefix(end + 1);
    }
    if (count > 0) packet_.arguments.emplace_back(rest);
    state_ = State::packet;
}

Packet Decoder::takePacket() {
    Packet out = std::move(packet_);
    head_.clear(), body_ = {};
    state_ = State::begin;
    return out;
}

std::string Decoder::takeLine() {
    std::string out = std::exchange(text_, {});
    state_ = State::begin;
    while (!out.empty() && (out.back() == '\n' || out.back() == '\r')) out.pop_back();
    return out;
}

}  // namespace amberswitch::gearman
