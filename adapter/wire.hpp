// The simulator's wire: one JSON value a line. Hosts any number of Dispatcher instances and keeps no
// decision.
#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "settings/settings.hpp"

namespace heronmount::wire {

using BadLine = amberswitch::settings::BadField;

class Codec {
public:
    Codec();
    ~Codec();
    // Takes one line of input. True when the line closed a batch and reply() holds what to write.
    // Throws BadLine, saying what is wrong with the line.
    bool feed(std::string_view line);
    const std::string& reply() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

}  // namespace heronmount::wire
