// The laboratory's command line. It wires, it decides nothing.
#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/spdlog.h>
#include <sys/resource.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>
#include <filesystem>

#include "lab/report.hpp"
#include "settings/settings.hpp"

using namespace amberswitch;

namespace {

struct Asked {
    std::string program = AMBERSWITCH_PROGRAM_PATH, other, folder;
    std::vector<std::string> scripts;
    std::size_t plays = 1;
    std::int64_t seed = -1, dispatchers = -1;
    bool quiet = false, plots = true;
};

lab::Result play(const Asked& asked, const std::string& program, lab::Script script,
                 const std::string& folder) {
    std::filesystem::remove_all(folder);
    std::filesystem::create_directories(folder);
    const auto sink = std::make_shared<spdlog::sinks::basic_file_sink_mt>(folder + "/events.jsonl", true);
    const auto log = std::make_shared<spdlog::logger>("lab", sink);
    log->set_pattern("%v");
    lab::Options options;
    options.program = program, options.folder = folder, options.block = static_cast<unsigned>(::getpid());
    const bool terminal = !asked.quiet && ::isatty(2);
    if (terminal)
        options.progress = [](const std::string& line) { std::fprintf(stderr, "\r%-78s", line.c_str()); };
    lab::Result result = [&] {
        lab::Rig rig(script, options, log);
        return rig.run();
    }();
    log->flush();
    if (terminal) std::fputc('\n', stderr);
    if (asked.plots) lab::writeReport(result, folder);
    return result;
}

lab::Script scriptFor(const Asked& asked, const std::string& path, std::size_t play) {
    lab::Script script = lab::readScript(path);
    if (asked.seed >= 0) script.seed = static_cast<std::uint64_t>(asked.seed);
    if (asked.dispatchers > 0) script.dispatchers = static_cast<std::size_t>(asked.dispatchers);
    script.seed += play;
    return script;
}

int fleet(const Asked& asked) {
    bool good = true;
    for (const std::string& path : asked.scripts)
        for (std::size_t i = 0; i < asked.plays; ++i) {
            const lab::Script script = scriptFor(asked, path, i);
            const auto result = play(asked, asked.program, script,
                                     asked.folder + "/" + script.name + "-" + std::to_string(script.seed));
            std::fputs(lab::table(result).c_str(), stdout);
            std::fflush(stdout);
            good = good && result.good();
        }
    return good ? 0 : 1;
}

int compare(const Asked& asked) {
    for (const std::string& path : asked.scripts) {
        std::vector<lab::Result> a, b;
        std::string name;
        for (std::size_t i = 0; i < asked.plays; ++i) {
            const lab::Script script = scriptFor(asked, path, i);
            const std::string at =
                asked.folder + "/" + (name = script.name) + "-" + std::to_string(script.seed);
            // In turn, so that what else goes on in the machine meets both alike.
            for (const bool first : {i % 2 == 0, i % 2 != 0})
                (first ? a : b)
                    .push_back(
                        play(asked, first ? asked.program : asked.other, script, at + (first ? "-a" : "-b")));
        }
        std::printf("%s: %s", name.c_str(), lab::compared(a, b).c_str());
        std::fflush(stdout);
    }
    return 0;
}

}  // namespace

int main(int argc, char** argv) {
    std::signal(SIGPIPE, SIG_IGN);
    // Hundreds of processes, each with ways of its own to all job servers: as many descriptors as are
    // allowed.
    rlimit descriptors{};
    if (::getrlimit(RLIMIT_NOFILE, &descriptors) == 0) {
        descriptors.rlim_cur = descriptors.rlim_max;
        ::setrlimit(RLIMIT_NOFILE, &descriptors);
    }
    Asked asked;
    asked.folder =
        (std::filesystem::temp_directory_path() / ("amberswitch_lab." + std::to_string(::getpid()))).string();
    CLI::App app{"Plays many dispatchers together, with faults between them, and checks them from outside."};
    app.require_subcommand(1);
    const auto common = [&asked](CLI::App& of) {
        of.add_option("--out", asked.folder, "where runs leave their logs and reports")
            ->capture_default_str();
        of.add_option("--seed", asked.seed, "instead of the script's")->check(CLI::NonNegativeNumber);
        of.add_option("--dispatchers", asked.dispatchers, "instead of the script's")
            ->check(CLI::Range(1, 500));
        of.add_option("--plays", asked.plays, "with seeds counted up from it")->check(CLI::Range(1, 1000));
        of.add_flag("--quiet", asked.quiet, "no line of progress");
        of.add_flag("!--no-plots", asked.plots, "no report beside the table");
    };
    CLI::App* const one =
        app.add_subcommand("fleet", "plays scripts; status 0 if all was right, 1 if not, 2 on bad input");
    common(*one);
    one->add_option("--program", asked.program, "the dispatcher")->check(CLI::ExistingFile);
    one->add_option("script", asked.scripts, "what to play")->required()->check(CLI::ExistingFile);
    CLI::App* const two =
        app.add_subcommand("compare", "plays scripts with two builds in turn, paired by seed");
    common(*two);
    two->add_option("A", asked.program, "one dispatcher")->required()->check(CLI::ExistingFile);
    two->add_option("B", asked.other, "the other")->required()->check(CLI::ExistingFile);
    two->add_option("script", asked.scripts, "what to play")->required()->check(CLI::ExistingFile);
    try {
        app.parse(argc, argv);
        return one->parsed() ? fleet(asked) : compare(asked);
    } catch (const CLI::ParseError& wrong) {
        return app.exit(wrong) == 0 ? 0 : 2;
    } catch (const settings::BadField& bad) {
        std::fprintf(stderr, "amberswitch_lab: %s\n", bad.what());
        return 2;
    } catch (const std::exception& failure) {
        std::fprintf(stderr, "amberswitch_lab: %s\n", failure.what());
        return 3;
    }
}
