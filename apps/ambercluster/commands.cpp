#include "commands.hpp"

#include <exception>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

#include "cluster/common/configuration.hpp"
#include "cluster/common/settings.hpp"
#include "cluster/storage/inspect.hpp"
#include "exit_status.hpp"

namespace amberswitch::cluster {
namespace {

std::string readWhole(const std::string& path) {
    std::ifstream stream(path, std::ios::binary);
    std::ostringstream content;
    content << stream.rdbuf();
    if (!stream) throw SettingsError(path, "file", "cannot be read");
    return content.str();
}

bool isConfiguration(const std::string& path, const std::string& content) {
    const std::string extension = std::filesystem::path(path).extension().string();
    if (extension == ".json") return true;
    if (extension == ".yaml" || extension == ".yml") return false;
    const std::size_t first = content.find_first_not_of(" \t\r\n");
    return first != std::string::npos && content[first] == '{';
}

void checkConfiguration(const std::string& path, const std::string& content) {
    try {
        parseConfiguration(content);
    } catch (const ConfigurationError& error) {
        throw std::runtime_error(path + ": " + error.what());
    }
}

}  // namespace

int checkFile(const std::string& path) {
    try {
        const std::string content = readWhole(path);
        if (isConfiguration(path, content)) {
            checkConfiguration(path, content);
        } else {
            loadNodeSettings(path);
        }
    } catch (const std::exception& error) {
        std::cerr << error.what() << '\n';
        return kExitBadInput;
    }
    std::cout << "ok\n";
    return kExitOk;
}

int inspectFolder(const std::string& folder) {
    try {
        inspectRing(folder, std::cout);
    } catch (const std::exception& error) {
        std::cerr << error.what() << '\n';
        return kExitFailure;
    }
    return kExitOk;
}

}  // namespace amberswitch::cluster
