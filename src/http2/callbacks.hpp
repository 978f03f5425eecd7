// Between nghttp2 and the session: its callbacks, in words of the session. For session.cpp only.
#pragma once

#include <nghttp2/nghttp2.h>

#include "http2/session.hpp"

namespace amberswitch::http2 {

std::vector<nghttp2_nv> pairsOf(const Fields& fields);  // they point into the fields

struct Session::Callbacks {
    static nghttp2_session_callbacks* table();
    static nghttp2_option* options();
    static ssize_t read(nghttp2_session* session, StreamId id, std::uint8_t* into, std::size_t size,
                        std::uint32_t* flags, nghttp2_data_source* source, void* user);

private:
    struct Calls;
};

}  // namespace amberswitch::http2
