// Puts the pages of a configuration's update together, on the side of a dispatcher.
#pragma once

#include <optional>
#include <string>

#include "cluster/common/messages.hpp"

namespace amberswitch::cluster {

class ConfigurationAssembler {
public:
    // The bytes of the update once its last page has come. The first page of another update begins anew; any
    // other page that does not follow what is here is ignored.
    std::optional<std::string> add(const ConfigurationPage& page);
    UpdateProgress progress() const { return {update_digest_, bytes_.size()}; }
    bool isUnderWay() const { return !bytes_.empty(); }

private:
    bool beginsAnew(const ConfigurationPage& page) const;

    std::uint64_t update_digest_ = 0;
    std::string bytes_;
};

}  // namespace amberswitch::cluster
