// Saves system calls where evhttp writes.
#pragma once

#include <event2/bufferevent.h>
#include <event2/bufferevent_struct.h>
#include <event2/event.h>

namespace amberswitch::cluster {

// Writes what is in the output of a connected stream at the end of this turn of the loop. A bufferevent would
// first ask the kernel whether the socket is writable, which it mostly is: two system calls and a wake-up for
// each message.
inline void scheduleWrite(bufferevent* stream) {
    event_active(&stream->ev_write, EV_WRITE, 0);
}

}  // namespace amberswitch::cluster
