// Reads a further response on a client connection whose last request has been answered.
#pragma once

#include <event2/http.h>

namespace amberswitch::cluster {

// Takes `message` over; its callback hears the next response on the connection, or its end, as for any
// request. Nothing is sent: evhttp reads a response only for a request, so one is queued and its bytes are
// taken back before any of them is written. `method` is that of the request whose response is still to come:
// it tells whether that has a body. False: evhttp did not take it, and has freed it.
bool readNextResponse(evhttp_connection* connection, evhttp_request* message, evhttp_cmd_type method);

}  // namespace amberswitch::cluster
