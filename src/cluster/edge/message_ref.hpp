// The name that a client gets for its message in Message-Ref: up to 64 letters, digits or "-_.".
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "cluster/common/types.hpp"

namespace amberswitch::cluster {

struct MessageRef {
    std::optional<PartitionId> partition;  // nothing: a bare id; any partition may have it
    MessageId id;
};

// "p<partition>-<id>" where the id consists of letters, digits and "-_.", else "p<partition>.<hex of the
// id>". Nothing where that is longer than 64 characters.
std::optional<std::string> formatMessageRef(PartitionId partition, std::string_view id);

// Reads both forms; any other text is a bare id.
MessageRef parseMessageRef(std::string_view text);

}  // namespace amberswitch::cluster
