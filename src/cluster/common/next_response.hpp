// Reads a further response on a client connection whose last request has been answered.
#pragma once

#include <event2/http.h>

namespace amberswitch::cluster {

// Takes ownership of `message`; its callback receives the next response on the connection, or the
// connection's end, as for any request. Nothing is sent: evhttp reads a response only for a request, so a
// request is queued and its bytes are removed from the output buffer before any is written. `method` is that
// of the request whose response is expected; it determines whether the response has a body. Returns false if
// evhttp rejected `message`, which it has then freed.
bool readNextResponse(evhttp_connection* connection, evhttp_request* message, evhttp_cmd_type method);

}  // namespace amberswitch::cluster
