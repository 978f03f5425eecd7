// Gearman's binary packets, and the text lines of its administrative commands, as bytes come in.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace amberswitch::gearman {

enum class Type : std::uint32_t {
    canDo = 1,
    cantDo,
    resetAbilities,
    preSleep,
    noop = 6,
    submitJob,
    jobCreated,
    grabJob,
    noJob,
    jobAssign,
    workStatus,
    workComplete,
    workFail,
    getStatus,
    echoReq,
    echoRes,
    submitJobBg,
    error,
    statusRes,
    submitJobHigh,
    setClientId,
    canDoTimeout,
    allYours,
    workException,
    optionReq,
    optionRes,
    workData,
    workWarning,
    grabJobUniq,
    jobAssignUniq,
    submitJobHighBg,
    submitJobLow,
    submitJobLowBg,
    submitJobSched,
    submitJobEpoch,
    submitReduceJob,
    submitReduceJobBg,
    grabJobAll,
    jobAssignAll,
    getStatusUnique,
    statusResUnique
};

constexpr std::size_t kHeader = 12;
constexpr std::size_t kMostPacket = 68 * 1024;  // a body of 64 KiB and its names
constexpr std::size_t kMostLine = 512;

struct Packet {
    Type type = Type::noop;
    std::vector<std::string> arguments;
};

// How many arguments a packet of this type has; none if there is no such type.
std::optional<std::size_t> argumentsOf(Type type);

std::string encode(bool request, Type type, std::initializer_list<std::string_view> arguments);

class Decoder {
public:
    explicit Decoder(bool requests) : requests_(requests) {}

    // Takes bytes until a packet or a line is complete; returns how many it took.
    std::size_t feed(std::string_view bytes);
    bool packetReady() const { return state_ == State::packet; }
    bool lineReady() const { return state_ == State::line; }
    bool bad() const { return state_ == State::bad; }
    bool started() const { return !head_.empty() || !body_.empty() || !text_.empty(); }
    const char* fault() const { return fault_; }
    Packet takePacket();
    std::string takeLine();

private:
    enum class State { begin, head, body, text, packet, line, bad };
    void parseHead();
    void split();
    void fail(const char* why) { state_ = State::bad, fault_ = why; }

    bool requests_;
    State state_ = State::begin;
    std::string head_, body_, text_;
    std::size_t left_ = 0;
    Packet packet_;
    const char* fault_ = "";
};

}  // namespace amberswitch::gearman
