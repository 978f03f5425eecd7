// Remote calls with a typed reply.
#pragma once

#include <functional>
#include <optional>
#include <utility>

#include "cluster/common/codec.hpp"
#include "cluster/common/transport.hpp"

namespace amberswitch::cluster {

// Sends `request` and passes the decoded reply to `done`, or std::nullopt if there was no reply or it is not
// a Reply.
template <class Reply, class Request>
void callFor(Transport& transport, const NodeAddress& to, MessageKind kind, const Request& request,
             Millis timeout, std::function<void(std::optional<Reply>)> done) {
    transport.call(to, envelope(kind, request), timeout, [done = std::move(done)](CallResult result) {
        if (result.verdict != CallStatus::answered) return done(std::nullopt);
        done(decode<Reply>(result.reply.body));
    });
}

}  // namespace amberswitch::cluster
