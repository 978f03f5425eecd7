// The ingest and dispatch service: reads the command line and hands over to a role or a command.
#include <glog/logging.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <exception>
#include <functional>
#include <iostream>
#include <string>

#include "cluster/common/settings.hpp"
#include "commands.hpp"
#include "exit_status.hpp"
#include "roles.hpp"

#ifndef AMBERCLUSTER_VERSION
#define AMBERCLUSTER_VERSION "unknown"
#endif

namespace amberswitch::cluster {
namespace {

constexpr const char* kSettingsVariable = "AMBERSWITCH_NODE_FILE";

using Role = int (*)(const NodeSettings&, const RoleOptions&);

struct CommandLine {
    RoleOptions role_options;
    std::string checked_file;
    std::string inspected_folder;
    std::function<int()> chosen;  // what the subcommand asks for; returns the exit status
};

void startLogging(const char* program) {
    FLAGS_logtostderr = true;
    FLAGS_log_utc_time = true;  // no look-up of the time zone
    google::InitGoogleLogging(program);
}

int serve(Role role, const RoleOptions& options) {
    NodeSettings settings;
    try {
        settings = loadNodeSettings(options.settings_path);
    } catch (const SettingsError& error) {
        std::cerr << error.what() << '\n';
        return kExitBadInput;
    }
    try {
        return role(settings, options);
    } catch (const std::exception& error) {
        LOG(ERROR) << settings.name << ": ends: " << error.what();
        return kExitFailure;
    }
}

void addRole(CLI::App& app, CommandLine& line, const char* name, const char* description, Role role) {
    CLI::App* command = app.add_subcommand(name, description);
    command->add_option("--settings", line.role_options.settings_path, "settings file (YAML)")
        ->envname(kSettingsVariable)
        ->required();
    command->add_option("--metrics-port", line.role_options.metrics_port,
                        "where the process tells its figures as text; 0: nowhere");
    command->callback(
        [&line, role] { line.chosen = [&line, role] { return serve(role, line.role_options); }; });
}

void addCheck(CLI::App& app, CommandLine& line) {
    CLI::App* command = app.add_subcommand("check", "check a settings file (YAML) or a configuration (JSON)");
    command->add_option("FILE", line.checked_file, "file to check")->required();
    command->callback([&line] { line.chosen = [&line] { return checkFile(line.checked_file); }; });
}

void addInspect(CLI::App& app, CommandLine& line) {
    CLI::App* command = app.add_subcommand("inspect", "print what a store keeps in its data folder");
    command->add_option("DIR", line.inspected_folder, "data folder of a store that doesn't run")->required();
    command->callback([&line] { line.chosen = [&line] { return inspectFolder(line.inspected_folder); }; });
}

int printVersion() {
    std::cout << "ambercluster " AMBERCLUSTER_VERSION "\n";
    return kExitOk;
}

void addVersion(CLI::App& app, CommandLine& line) {
    CLI::App* command = app.add_subcommand("version", "print the version");
    command->callback([&line] { line.chosen = printVersion; });
}

int run(int argument_count, char** arguments) {
    CommandLine line;
    CLI::App app("The ingest and dispatch service");
    app.require_subcommand(1);
    addRole(app, line, "edge", "take messages from clients and deliver them to servers", runEdge);
    addRole(app, line, "core", "keep the configuration and know who exists", runCore);
    addRole(app, line, "store", "keep messages on disk, order them and grant their runs", runStore);
    addCheck(app, line);
    addInspect(app, line);
    addVersion(app, line);
    try {
        app.parse(argument_count, arguments);
    } catch (const CLI::ParseError& error) {
        return app.exit(error) == 0 ? kExitOk : kExitBadInput;
    }
    return line.chosen();
}

}  // namespace
}  // namespace amberswitch::cluster

int main(int argument_count, char** arguments) {
    // Settings are read at the start anyway. The roles take the signal while they run; before and after that,
    // its default would end the process.
    std::signal(SIGHUP, SIG_IGN);
    try {
        amberswitch::cluster::startLogging(arguments[0]);
        return amberswitch::cluster::run(argument_count, arguments);
    } catch (const std::exception& error) {
        std::cerr << error.what() << '\n';
        return amberswitch::cluster::kExitFailure;
    }
}
