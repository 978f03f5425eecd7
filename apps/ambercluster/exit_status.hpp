// Exit statuses of the program, as docs/operators/cluster.md lists them.
#pragma once

namespace amberswitch::cluster {

inline constexpr int kExitOk = 0;
inline constexpr int kExitFailure = 1;   // what was asked could not be done
inline constexpr int kExitBadInput = 2;  // the command line, the settings or the checked file are at fault

}  // namespace amberswitch::cluster
