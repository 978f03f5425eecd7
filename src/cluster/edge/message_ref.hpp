// Message references, returned to clients in the Message-Ref header: up to 64 letters, digits or "-_.".
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "cluster/common/types.hpp"

namespace amberswitch::cluster {

struct MessageRef {
    std::optional<PartitionId> partition;  // nullopt for a bare id, which any partition may hold
    MessageId id;
};

// Returns "p<partition>-<id>" if the id consists of letters, digits and "-_.", else "p<partition>.<hex of the
// id>". Returns nullopt if the reference would be longer than 64 characters.
std::optional<std::string> formatMessageRef(PartitionId partition, std::string_view id);

// Parses both forms; any other text is a bare id.
MessageRef parseMessageRef(std::string_view text);

}  // namespace amberswitch::cluster
