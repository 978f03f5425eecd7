// What the program is told when it starts, and again when it is to reread: the platform's file, and the
// project's own ones under deploy/.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "gearman/config.hpp"
#include "platform/consul.hpp"
#include "settings/settings.hpp"

namespace amberswitch::config {

struct Platform {  // the file that ROUTER_CONFIG names
    std::string name, listen, discovery;
    std::uint64_t seed = 0;
    std::size_t sockets = 1024, memoryMb = 64;
    settings::Site site;
    std::optional<settings::object> known;  // lives as long as the reader's next reading
};

struct Own {  // the project's own files: what a missing one is for is off
    gearman::Config gearman;
    platform::ConsulConfig consul;
};

class Reader {
public:
    explicit Reader(std::string path) : path_(std::move(path)) {}
    Platform read();  // throws settings::BadField, naming the field

private:
    std::string path_;
    simdjson::dom::parser parser_;
};

Own readOwn(const settings::Site& site);  // throws settings::BadField

}  // namespace amberswitch::config
