#include "config/operator.hpp"

#include <cstdlib>
#include <fstream>
#include <sstream>

#include "net/loop.hpp"

namespace amberswitch::config {

using settings::BadField;
using settings::Node;

namespace {

// Where a section's address is given, it must be one.
void needAddress(const Node& section, const char* field) {
    for (const auto& [name, node] : section.entries())
        if (name == field && !node.text().empty() && !net::endpointOf(node.text()))
            node.fail("is not an address and a port");
}

void needServerAddresses(const Node& section) {
    for (const auto& [name, node] : section.entries())
        if (name == "servers")
            for (const Node& server : node.list()) needAddress(server, "address");
}

}  // namespace

Operator readOperator(const settings::Site& site, const std::string& path, const std::string& text) {
    try {
        simdjson::dom::parser parser;
        settings::element root;
        if (const auto error = parser.parse(text).get(root); error != simdjson::SUCCESS)
            throw BadField(std::string("the file: is not valid JSON: ") + simdjson::error_message(error));
        const auto from = Node(root, "").table({"gearman", "consul", "grpc", "log", "start", "placement"});
        Operator out;
        if (const Node* const section = from.find("gearman"))
            out.gearman = gearman::readConfig(*section, site), needAddress(*section, "listen");
        if (const Node* const section = from.find("consul"))
            out.consul = platform::readConsul(*section), needAddress(*section, "address");
        if (const Node* const section = from.find("grpc")) {
            out.grpc = grpc::readConfig(*section, site);
            needAddress(*section, "listen"), needServerAddresses(*section);
            if (!out.grpc.listen.empty() && site.classes.size() > 32)
                section->fail("the site has more than 32 classes");
        }
        if (const Node* const section = from.find("log")) {
            const auto log = section->table({"trace", "lines_per_s"});
            out.log.trace = log.flag("trace", false);
            out.log.linesPerSecond = log.integer("lines_per_s", std::uint32_t{200}, 1, 100'000);
        }
        if (const Node* const section = from.find("start")) out.start = start::readPace(*section);
        if (const Node* const section = from.find("placement"))
            out.placement = placement::readPolicy(*section, site);
        return out;
    } catch (const BadField& bad) {
        throw BadField(path + ": " + bad.what());
    }
}

Operator readOperator(const settings::Site& site) {
    const char* const given = std::getenv("AMBERSWITCH_OPERATOR");
    const std::string path = given ? given : "deploy/operator.json";
    std::ifstream file(path);
    if (!file && given) throw BadField(path + ": the file: can't be read");
    if (!file) return {};
    std::stringstream text;
    text << file.rdbuf();
    return readOperator(site, path, text.str());
}

}  // namespace amberswitch::config
