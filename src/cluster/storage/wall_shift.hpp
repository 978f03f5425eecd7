// Wall-clock times in messages between stores follow the sender's clock; the receiver converts them to its
// own by adding the difference of the clocks. Fields that are 0 are not set and stay 0.
#pragma once

#include "cluster/common/messages.hpp"

namespace amberswitch::cluster::storage {

inline void shiftTimes(MessageRecord& record, std::int64_t by_ms) {
    record.accepted_wall_ms += by_ms;
    if (record.ended_wall_ms != 0) record.ended_wall_ms += by_ms;
}

inline void shiftTimes(RecordUpdate& update, std::int64_t by_ms) {
    if (update.ended_wall_ms != 0) update.ended_wall_ms += by_ms;
    if (update.accepted_wall_ms != 0) update.accepted_wall_ms += by_ms;
    if (update.keep_until_wall_ms != 0) update.keep_until_wall_ms += by_ms;
}

}  // namespace amberswitch::cluster::storage
