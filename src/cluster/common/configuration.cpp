#include "cluster/common/configuration.hpp"

#include <algorithm>

namespace amberswitch::cluster {
namespace {

std::string fieldOf(const char* list, std::size_t position, const char* member) {
    return std::string(list) + "[" + std::to_string(position) + "]." + member;
}

// The host name of a Host header in lower case, without the port.
std::string normalizedHost(std::string_view host) {
    const std::size_t after_brackets = host.starts_with('[') ? host.find(']') : 0;
    const std::size_t colon = host.find(':', after_brackets == std::string_view::npos ? 0 : after_brackets);
    std::string normalized(host.substr(0, colon));
    for (char& letter : normalized) {
        if (letter >= 'A' && letter <= 'Z') letter = static_cast<char>(letter - 'A' + 'a');
    }
    return normalized;
}

}  // namespace

const Route* Configuration::match(std::string_view host, std::string_view path) const {
    const auto found_host = routes_by_host_.find(normalizedHost(host));
    if (found_host == routes_by_host_.end()) return nullptr;

    const HostRoutes& host_routes = found_host->second;
    const std::string_view plain_path = path.substr(0, path.find('?'));
    for (const std::size_t length : host_routes.prefix_lengths) {
        if (length > plain_path.size()) continue;
        const auto found = host_routes.by_prefix.find(plain_path.substr(0, length));
        if (found != host_routes.by_prefix.end()) return &routes[found->second];
    }
    return nullptr;
}

const Route* Configuration::route(std::string_view name) const {
    const auto found = route_by_name_.find(name);
    return found == route_by_name_.end() ? nullptr : &routes[found->second];
}

const Service* Configuration::service(std::string_view name) const {
    const auto found = service_by_name_.find(name);
    return found == service_by_name_.end() ? nullptr : &services[found->second];
}

void Configuration::buildIndexes() {
    indexServices();
    indexRoutes();
}

void Configuration::checkServicesExist() const {
    for (std::size_t i = 0; i < routes.size(); ++i) {
        if (service(routes[i].service) != nullptr) continue;
        throw ConfigurationError(fieldOf("routes", i, "backend"),
                                 "there is no service '" + routes[i].service + "'");
    }
}

void Configuration::indexServices() {
    service_by_name_.clear();
    for (std::size_t i = 0; i < services.size(); ++i) {
        const bool is_new = service_by_name_.emplace(services[i].name, i).second;
        if (!is_new) {
            throw ConfigurationError(fieldOf("services", i, "name"),
                                     "there is another service '" + services[i].name + "'");
        }
    }
}

void Configuration::indexRoutes() {
    route_by_name_.clear();
    routes_by_host_.clear();
    for (std::size_t i = 0; i < routes.size(); ++i) {
        const Route& added = routes[i];
        if (!route_by_name_.emplace(added.name, i).second) {
            throw ConfigurationError(fieldOf("routes", i, "name"),
                                     "there is another route '" + added.name + "'");
        }
        HostRoutes& host_routes = routes_by_host_[normalizedHost(added.hostname)];
        const auto [same, is_new] = host_routes.by_prefix.emplace(added.path_prefix, i);
        if (!is_new) {
            throw ConfigurationError(
                fieldOf("routes", i, "pathPrefix"),
                "route '" + routes[same->second].name + "' has the same host and prefix");
        }
        host_routes.prefix_lengths.push_back(added.path_prefix.size());
    }
    for (auto& [host, host_routes] : routes_by_host_) {
        std::vector<std::size_t>& lengths = host_routes.prefix_lengths;
        std::ranges::sort(lengths, std::greater<>{});
        lengths.erase(std::unique(lengths.begin(), lengths.end()), lengths.end());
    }
}

}  // namespace amberswitch::cluster
