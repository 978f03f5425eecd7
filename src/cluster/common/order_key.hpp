// The home of an order key: the one partition that holds all messages with it.
#pragma once

#include <cstddef>
#include <string_view>

#include "cluster/common/types.hpp"

namespace amberswitch::cluster {

// Returns the partition of all messages with this order key. It depends on the key and on the number of
// partitions alone, so no change of the configuration moves a key. Requires partition_count > 0.
PartitionId partitionOfOrderKey(std::string_view order_key, std::size_t partition_count);

}  // namespace amberswitch::cluster
