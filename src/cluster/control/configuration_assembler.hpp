// Assembles a configuration update from its pages, on the receiving dispatcher.
#pragma once

#include <optional>
#include <string>

#include "cluster/common/messages.hpp"

namespace amberswitch::cluster {

// Holds the pages of at most one update. Pages must arrive in the order of their offsets.
class ConfigurationAssembler {
public:
    // Returns the bytes of the update once its last page has arrived. The first page of another update
    // discards the pages received so far; any other page that does not continue them is ignored. An update
    // whose digest does not match is logged and discarded.
    std::optional<std::string> add(const ConfigurationPage& page);
    // The digest and received byte count of the current update; both 0 when there is none.
    UpdateProgress progress() const { return {update_digest_, bytes_.size()}; }
    bool isInProgress() const { return !bytes_.empty(); }

private:
    bool startsNewUpdate(const ConfigurationPage& page) const;

    std::uint64_t update_digest_ = 0;
    std::string bytes_;
};

}  // namespace amberswitch::cluster
