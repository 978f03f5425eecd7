#include "grpc/status.hpp"

#include <algorithm>
#include <array>
#include <charconv>

namespace amberswitch::grpc {

const char* nameOf(Status status) {
    constexpr std::array<const char*, kStatuses> kNames = {
        "OK",        "CANCELLED",      "UNKNOWN",           "INVALID_ARGUMENT",   "DEADLINE_EXCEEDED",
        "NOT_FOUND", "ALREADY_EXISTS", "PERMISSION_DENIED", "RESOURCE_EXHAUSTED", "FAILED_PRECONDITION",
        "ABORTED",   "OUT_OF_RANGE",   "UNIMPLEMENTED",     "INTERNAL",           "UNAVAILABLE",
        "DATA_LOSS", "UNAUTHENTICATED"};
    return kNames[static_cast<std::size_t>(status)];
}

std::optional<Status> statusOf(std::string_view digits) {
    int value = -1;
    const auto [end, bad] = std::from_chars(digits.data(), digits.data() + digits.size(), value);
    if (bad != std::errc() || end != digits.data() + digits.size() || value < 0) return std::nullopt;
    return value < kStatuses ? static_cast<Status>(value) : Status::unknown;
}

bool isFault(Status status) {
    return status == Status::internal || status == Status::unknown || status == Status::unavailable ||
           status == Status::dataLoss;
}

Status ofHttp(std::string_view status) {
    if (status == "400") return Status::internal;
    if (status == "401") return Status::unauthenticated;
    if (status == "403") return Status::permissionDenied;
    if (status == "404") return Status::unimplemented;
    if (status == "429" || status == "502" || status == "503" || status == "504") return Status::unavailable;
    return Status::unknown;
}

Status ofReset(http2::Code code) {
    switch (code) {
        case http2::Code::refusedStream:
            return Status::unavailable;
        case http2::Code::cancel:
            return Status::cancelled;
        case http2::Code::enhanceYourCalm:
            return Status::resourceExhausted;
        case http2::Code::inadequateSecurity:
            return Status::permissionDenied;
        case http2::Code::noError:
        case http2::Code::protocolError:
        case http2::Code::internalError:
        case http2::Code::flowControl:
        case http2::Code::settingsTimeout:
        case http2::Code::streamClosed:
        case http2::Code::frameSize:
        case http2::Code::compression:
        case http2::Code::connect:
        case http2::Code::http11Required:
            break;
    }
    return Status::internal;
}

std::optional<Nanos> readTimeout(std::string_view text) {
    if (text.size() < 2 || text.size() > 9) return std::nullopt;
    const std::string_view digits = text.substr(0, text.size() - 1);
    if (!std::all_of(digits.begin(), digits.end(), [](char c) { return c >= '0' && c <= '9'; }))
        return std::nullopt;
    std::int64_t value = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), value);
    switch (text.back()) {
        case 'H':
            return std::chrono::hours(std::min<std::int64_t>(value, 1'000'000));  // no clock lasts longer
        case 'M':
            return std::chrono::minutes(std::min<std::int64_t>(value, 60'000'000));
        case 'S':
            return std::chrono::seconds(value);
        case 'm':
            return std::chrono::milliseconds(value);
        case 'u':
            return std::chrono::microseconds(value);
        case 'n':
            return Nanos(value);
        default:
            return std::nullopt;
    }
}

std::string writeTimeout(Nanos left) {
    const auto micros = std::max<std::int64_t>(1, left.count() / 1000);
    if (micros < 100'000'000) return std::to_string(micros) + 'u';
    if (micros / 1000 < 100'000'000) return std::to_string(micros / 1000) + 'm';
    return std::to_string(std::min<std::int64_t>(99'999'999, micros / 1'000'000)) + 'S';
}

std::string percentEncoded(std::string_view text) {
    constexpr char kDigits[] = "0123456789ABCDEF";
    std::string out;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (byte >= 0x20 && byte <= 0x7e && c != '%')
            out += c;
        else
            out += '%', out += kDigits[byte >> 4], out += kDigits[byte & 15];
    }
    return out;
}

std::optional<long> readPushback(const std::string* value) {
    if (!value) return std::nullopt;
    long ms = 0;
    const auto [end, bad] = std::from_chars(value->data(), value->data() + value->size(), ms);
    if (bad != std::errc() || end != value->data() + value->size())
        return -1;  // the page: unreadable, so don't
    return ms;
}

http2::Fields trailers(Status status, std::string_view message, std::optional<long> pushback) {
    http2::Fields out = {{"grpc-status", std::to_string(static_cast<int>(status))}};
    if (!message.empty()) out.emplace_back("grpc-message", percentEncoded(message));
    if (pushback) out.emplace_back("grpc-retry-pushback-ms", std::to_string(*pushback));
    return out;
}

http2::Fields trailersOnly(Status status, std::string_view message, std::optional<long> pushback) {
    http2::Fields out = {{":status", "200"}, {"content-type", "application/grpc"}};
    for (auto& field : trailers(status, message, pushback)) out.push_back(std::move(field));
    return out;
}

bool hops(std::string_view name) {
    constexpr std::string_view kNames[] = {"connection",
                                           "keep-alive",
                                           "proxy-connection",
                                           "te",
                                           "upgrade",
                                           "transfer-encoding",
                                           "host",
                                           "trailer",
                                           "http2-settings",
                                           "proxy-authenticate",
                                           "proxy-authorization"};
    return name.empty() || name[0] == ':' ||
           std::find(std::begin(kNames), std::end(kNames), name) != std::end(kNames);
}

}  // namespace amberswitch::grpc
