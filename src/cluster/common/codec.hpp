// Encodes typed messages into envelopes, and decodes them.
#pragma once

#include <cereal/archives/portable_binary.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "cluster/common/memory_stream.hpp"
#include "cluster/common/messages.hpp"
#include "cluster/common/transport.hpp"

namespace amberswitch::cluster {

template <class Message>
std::string encode(const Message& message) {
    std::string bytes;
    MemorySink sink(bytes);
    cereal::PortableBinaryOutputArchive archive(streamTo(sink));
    archive(message);
    return bytes;
}

// Nothing if the bytes are not a message of this type. Ignores bytes after the message.
template <class Message>
std::optional<Message> decode(std::string_view bytes) {
    try {
        MemorySource source(bytes);
        cereal::PortableBinaryInputArchive archive(streamFrom(source));
        Message message;
        archive(message);
        return message;
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

// Like decode(), but also nothing if bytes follow the message.
template <class Message>
std::optional<Message> decodeExact(std::string_view bytes) {
    try {
        MemorySource source(bytes);
        cereal::PortableBinaryInputArchive archive(streamFrom(source));
        Message message;
        archive(message);
        if (!source.atEnd()) return std::nullopt;
        return message;
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

template <class Message>
Envelope envelope(MessageKind kind, const Message& message) {
    return Envelope{static_cast<std::uint16_t>(kind), encode(message)};
}

// An envelope for a response, which has the kind 0.
template <class Message>
Envelope reply(const Message& message) {
    return Envelope{0, encode(message)};
}

}  // namespace amberswitch::cluster
