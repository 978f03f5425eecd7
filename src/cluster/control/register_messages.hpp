// Messages and disk records of the register that only core machines use.
#pragma once

#include "cluster/common/messages.hpp"

namespace amberswitch::cluster {

// The keys of the register.
inline constexpr const char* kConfigKey = "config";  // ConfigurationState
inline constexpr const char* kViewKey = "view";      // StoreView
inline constexpr const char* kVotersKey = "voters";  // VoterSet; empty until the first change

// Asks a core machine who votes.
inline constexpr MessageKind kReadVoters = static_cast<MessageKind>(60);

struct ReadVotersRequest {
    std::string name;  // of the caller
    template <class Archive>
    void serialize(Archive& archive) {
        archive(name);
    }
};
struct ReadVotersReply {
    VoterSet voters;  // the newest known here
    template <class Archive>
    void serialize(Archive& archive) {
        archive(voters);
    }
};

// Record on disk: this machine's data is whole, and these are the voters.
struct VoterSetRecord {
    VoterSet voters;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(voters);
    }
};
// Record on disk: the last accepted proposal of one key.
struct AcceptedRecord {
    Ballot ballot;
    std::string value;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(ballot, value);
    }
};

}  // namespace amberswitch::cluster
