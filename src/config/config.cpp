#include "config/config.hpp"

#include <charconv>
#include <cstdlib>
#include <fstream>
#include <sstream>

#include "net/loop.hpp"
#include "settings/read.hpp"

namespace amberswitch::config {

using settings::BadField;

namespace {

// Throws BadField with `what` before the reason.
settings::object parseFile(std::istream& file, simdjson::dom::parser& parser, const std::string& what) {
    std::stringstream text;
    text << file.rdbuf();
    settings::element root;
    if (const auto error = parser.parse(text.str()).get(root); error != simdjson::SUCCESS)
        throw BadField(what + " is not valid JSON: " + simdjson::error_message(error));
    return settings::asObject(root, "the file");
}

std::uint64_t readSeed(const settings::object& from) {
    const auto value = settings::find(from, "seed");
    if (!value) throw BadField("field 'seed' is missing");
    std::uint64_t number = 0;
    if (value->get(number) == simdjson::SUCCESS) return number;
    const auto text = settings::as<std::string_view>(*value, "seed", "a number or hex digits");
    char* end = nullptr;
    const std::string digits(text);
    number = std::strtoull(digits.c_str(), &end, 16);
    if (digits.empty() || *end) throw BadField("field 'seed' is not a number or hex digits");
    return number;
}

void needAddress(const std::string& value, const char* field) {
    if (!net::endpointOf(value))
        throw BadField("field '" + std::string(field) + "' is not an address and a port");
}

}  // namespace

// Each fault is told with the file that it is in.
Platform Reader::read() {
    try {
        return readFile();
    } catch (const BadField& bad) {
        const std::string what = bad.what();
        const bool ofEnvironment =
            what.rfind("ROUTER_ACCEPT_FD", 0) == 0 || what.rfind("ROUTER_OPERATOR", 0) == 0;
        throw BadField(ofEnvironment ? what : path_ + ": " + what);
    }
}

Platform Reader::readFile() {
    std::ifstream file(path_);
    if (!file) throw BadField("ROUTER_CONFIG: can't read " + path_);
    const settings::object from = parseFile(file, parser_, "ROUTER_CONFIG");
    Platform config;
    config.name = settings::text(from, "name");
    config.listen = settings::text(from, "listen");
    config.discovery = settings::text(from, "discovery");
    config.seed = readSeed(from);
    if (const auto limits = settings::find(from, "limits")) {
        const auto bounds = settings::asObject(*limits, "limits");
        config.sockets = static_cast<std::size_t>(settings::integer(bounds, "sockets", 1024));
        config.memoryMb = static_cast<std::size_t>(settings::integer(bounds, "memory_mb", 64));
    }
    config.control = settings::text(from, "operator", "");
    if (!config.control.empty()) needAddress(config.control, "operator");
    // Guards against two processes that share the file: the variable belongs to one alone.
    if (const char* const own = std::getenv("ROUTER_OPERATOR"); own && *own) {
        if (!net::endpointOf(own)) throw BadField("ROUTER_OPERATOR is not an address and a port");
        config.control = own;
    }
    if (const char* const fd = std::getenv("ROUTER_ACCEPT_FD")) {
        int number = -1;
        const std::string_view digits(fd);
        const auto [end, wrong] = std::from_chars(digits.data(), digits.data() + digits.size(), number);
        if (wrong != std::errc() || end != digits.data() + digits.size() || number < 0)
            throw BadField("ROUTER_ACCEPT_FD is not a descriptor's number");
        config.acceptFd = number;
        if (const char* const folder = std::getenv("TMPDIR"); folder && *folder)
            config.meeting = std::string(folder) + "/amberswitch.link";
    }
    needAddress(config.listen, "listen");
    needAddress(config.discovery, "discovery");
    if (config.memoryMb < 16 || config.memoryMb > 1024 * 1024)
        throw BadField("field 'limits.memory_mb' is out of range");
    if (config.sockets < 64) throw BadField("field 'limits.sockets' is under 64");
    if (config.sockets > 10'000'000) throw BadField("field 'limits.sockets' is out of range");
    config.site = settings::readSite(settings::table(from, "settings"));
    try {  // what the module can't work with is a fault of the file, at the start and on a reload
        heronmount::Dispatcher tried(config.site.module, config.seed);
    } catch (const std::invalid_argument& bad) {
        throw BadField(bad.what());
    }
    if (const auto known = settings::find(from, "known")) config.known = settings::asObject(*known, "known");
    return config;
}

}  // namespace amberswitch::config
