// What this core machine knows to be chosen in the register. Told by proposers, asked of the others every 300
// ms. Values only rise by ballot.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "cluster/common/scheduler.hpp"
#include "cluster/common/transport.hpp"
#include "cluster/control/lifetime.hpp"
#include "cluster/control/register_proposer.hpp"

namespace amberswitch::cluster {

class ChosenValues {
public:
    using PeersFunction = std::function<std::vector<NodeAddress>()>;

    // `peers`: internal addresses of the other core machines known now.
    ChosenValues(Scheduler& scheduler, Transport& transport, RegisterVoter& voter, RegisterProposer& proposer,
                 PeersFunction peers);

    // Begins to ask, and proves both keys by a quorum round.
    void start();
    // Runs at each newer value, once the key is proved.
    void onChange(std::function<void(const std::string& key)> listener) { listener_ = std::move(listener); }

    // The newest chosen value, or null while none is known or the key is not proved yet.
    const ChosenValue* find(const std::string& key) const;
    // A majority of the voters, or this machine and enough others, answered within the last second, and both
    // keys are proved: what find() gives is current to about a second.
    bool isFresh() const;
    bool isProved() const;

    // A round of this machine has chosen: the others are told at once.
    void chosenHere(const std::string& key, const ChangeOutcome& outcome);
    // Another core machine tells.
    void learn(const ChosenValue& value);
    // Answers another core machine; round 0 where it has the newest already.
    ChosenValue answer(const ReadChosenRequest& request) const;

private:
    struct KeyState {
        ChosenValue value;
        bool proved = false;
    };

    void prove(const std::string& key);
    void pull();
    void pullFrom(const NodeAddress& peer, const std::string& key);

    Scheduler& scheduler_;
    Transport& transport_;
    RegisterVoter& voter_;
    RegisterProposer& proposer_;
    PeersFunction peers_;
    std::function<void(const std::string&)> listener_;
    std::map<std::string, KeyState> keys_;
    std::map<NodeAddress, SteadyTime> last_answers_;
    TimerHandle pull_timer_;
    Lifetime lifetime_;
};

}  // namespace amberswitch::cluster
