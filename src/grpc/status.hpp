// The one place where gRPC's words become the module's and back: status codes, time-outs, and what an ending
// proves. Sources: PROTOCOL-HTTP2.md, statuscodes.md and http-grpc-status-mapping.md of the gRPC project.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "core/end.hpp"
#include "http2/session.hpp"

namespace amberswitch::grpc {

enum class Status {
    ok,
    cancelled,
    unknown,
    invalidArgument,
    deadlineExceeded,
    notFound,
    alreadyExists,
    permissionDenied,
    resourceExhausted,
    failedPrecondition,
    aborted,
    outOfRange,
    unimplemented,
    internal,
    unavailable,
    dataLoss,
    unauthenticated
};
constexpr int kStatuses = 17;

const char* nameOf(Status status);
std::optional<Status> statusOf(std::string_view digits);  // of `grpc-status`

// Whether a job server's own status is a fault of the server: INTERNAL, UNKNOWN, UNAVAILABLE and DATA_LOSS.
// Any other is an answer of the application.
bool isFault(Status status);

Status ofHttp(std::string_view status);  // of an answer without `grpc-status`
Status ofReset(http2::Code code);        // of a stream that the other side reset

// `grpc-timeout`: at most eight digits and a unit. None if it can't be read.
std::optional<Nanos> readTimeout(std::string_view text);
std::string writeTimeout(Nanos left);  // rounded down, so that nobody waits longer than was asked

std::string percentEncoded(std::string_view text);  // of `grpc-message`

// `grpc-retry-pushback-ms`: how long to wait before a repeat; negative: don't repeat.
std::optional<long> readPushback(const std::string* value);

// A head that ends a call at once: status and message in trailers-only form.
http2::Fields trailersOnly(Status status, std::string_view message, std::optional<long> pushback = {});
http2::Fields trailers(Status status, std::string_view message, std::optional<long> pushback = {});

// Fields that belong to one connection, or that each side writes anew. Everything else passes as it is.
bool hops(std::string_view name);

}  // namespace amberswitch::grpc
