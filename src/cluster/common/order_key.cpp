#include "cluster/common/order_key.hpp"

#include <xxhash.h>

namespace amberswitch::cluster {

PartitionId partitionOfOrderKey(std::string_view order_key, std::size_t partition_count) {
    return static_cast<PartitionId>(XXH64(order_key.data(), order_key.size(), 0) % partition_count);
}

}  // namespace amberswitch::cluster
