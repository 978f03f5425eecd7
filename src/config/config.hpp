// What the platform tells the program when it starts, and again when it is to reread.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "settings/json.hpp"

namespace amberswitch::config {

struct Platform {  // the file that ROUTER_CONFIG names
    std::string name, listen, discovery;
    std::string control;  // the operators' address: $ROUTER_OPERATOR, else `operator`; empty: none
    // Of the environment, where the platform holds the clients' listener: its descriptor, and where the old
    // and the new process of this dispatcher meet (empty: nowhere).
    std::optional<int> acceptFd;
    std::string meeting;
    std::uint64_t seed = 0;
    std::size_t sockets = 1024, memoryMb = 64;
    settings::Site site;
    std::optional<settings::object> known;  // lives as long as the reader's next reading
};

class Reader {
public:
    explicit Reader(std::string path) : path_(std::move(path)) {}
    Platform read();  // throws settings::BadField, naming the file and the field

private:
    Platform readFile();
    std::string path_;
    simdjson::dom::parser parser_;
};

}  // namespace amberswitch::config
