// The simulator's protocol: one JSON object a line. A Codec translates between lines and the events and
// actions of any number of Dispatcher instances; it makes no decisions of its own.
#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "settings/settings.hpp"

namespace heronmount::wire {

using BadLine = amberswitch::settings::BadField;

// Reads lines of input and runs the Dispatcher instances that they name.
class Codec {
public:
    Codec();
    ~Codec();
    // Handles one line of input. Returns true if the line closed a batch; reply() then holds the lines to
    // write. Throws BadLine, which describes the error in the line.
    bool feed(std::string_view line);
    // The output of the last closed batch. Valid until the next batch is opened.
    const std::string& reply() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

}  // namespace heronmount::wire
