#include "cluster/common/next_response.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include "cluster/common/stream_flush.hpp"

namespace amberswitch::cluster {
namespace {

constexpr int kAtFront = 1;
constexpr const char* kDiscardedTarget = "/";

}  // namespace

bool readNextResponse(evhttp_connection* connection, evhttp_request* message, evhttp_cmd_type method) {
    if (evhttp_make_request(connection, message, method, kDiscardedTarget) != 0) return false;
    bufferevent* const stream = evhttp_connection_get_bufferevent(connection);
    evbuffer* const output = bufferevent_get_output(stream);
    evbuffer_unfreeze(output, kAtFront);
    evbuffer_drain(output, evbuffer_get_length(output));
    evbuffer_freeze(output, kAtFront);
    scheduleWrite(stream);  // evhttp begins to read once it has written
    return true;
}

}  // namespace amberswitch::cluster
