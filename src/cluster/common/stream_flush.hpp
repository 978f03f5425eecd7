// Reduces the system calls of evhttp's writes.
#pragma once

#include <event2/bufferevent.h>
#include <event2/bufferevent_struct.h>
#include <event2/event.h>

namespace amberswitch::cluster {

// Writes the output of a connected stream at the end of this loop iteration. By itself a bufferevent first
// polls whether the socket is writable, which it nearly always is. That takes two system calls and a wake-up
// for each message.
inline void scheduleWrite(bufferevent* stream) {
    event_active(&stream->ev_write, EV_WRITE, 0);
}

}  // namespace amberswitch::cluster
