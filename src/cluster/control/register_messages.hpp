// Messages and on-disk records of the consensus register that are used between core machines only.
#pragma once

#include "cluster/common/messages.hpp"

namespace amberswitch::cluster {

// Keys of the register, with the type of the stored value.
inline constexpr const char* kConfigKey = "config";  // ConfigurationState
inline constexpr const char* kViewKey = "view";      // StoreView
inline constexpr const char* kVotersKey = "voters";  // VoterSet; empty until the first voter change

// Reads the voter set that a core machine knows.
inline constexpr MessageKind kReadVoters = static_cast<MessageKind>(60);

struct ReadVotersRequest {
    std::string name;  // node name of the caller
    template <class Archive>
    void serialize(Archive& archive) {
        archive(name);
    }
};
struct ReadVotersReply {
    VoterSet voters;  // the newest set known to the answering machine
    template <class Archive>
    void serialize(Archive& archive) {
        archive(voters);
    }
};

// On-disk record of the current voters. Its presence also states that the register data on this disk is
// complete.
struct VoterSetRecord {
    VoterSet voters;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(voters);
    }
};
// On-disk record of the last accepted proposal of one key.
struct AcceptedRecord {
    Ballot ballot;
    std::string value;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(ballot, value);
    }
};

}  // namespace amberswitch::cluster
