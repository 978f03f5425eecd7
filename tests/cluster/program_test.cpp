// The command line of ambercluster: the output and exit status of each command.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <fcntl.h>
#include <signal.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>

namespace {

constexpr const char* kSettings = "nodeName: n\nip: 127.0.0.1\nzone: z\nportRange: [7780, 7795]\nseeds: []\n";
constexpr const char* kConfiguration = R"({"generation":1,"routes":[],"services":[]})";
constexpr int kSuccess = 0;
constexpr int kFailure = 1;
constexpr int kBadInput = 2;

struct ProgramResult {
    int status = -1;
    std::string output;  // standard output and standard error
};

ProgramResult runProgram(const std::string& arguments, const std::string& variables = "") {
    const std::string command =
        "env -u AMBERSWITCH_NODE_FILE " + variables + " " AMBERCLUSTER_PATH " " + arguments + " 2>&1";
    FILE* const pipe = popen(command.c_str(), "r");
    REQUIRE(pipe != nullptr);
    ProgramResult result;
    char buffer[4096];
    for (std::size_t read = 0; (read = fread(buffer, 1, sizeof buffer, pipe)) > 0;) {
        result.output.append(buffer, read);
    }
    const int status = pclose(pipe);
    REQUIRE(WIFEXITED(status));
    result.status = WEXITSTATUS(status);
    return result;
}

// A temporary directory, removed with its files by the destructor.
class TemporaryFolder {
public:
    TemporaryFolder() {
        char name[] = "/tmp/program_test_XXXXXX";
        REQUIRE(mkdtemp(name) != nullptr);
        path_ = name;
    }
    ~TemporaryFolder() { std::filesystem::remove_all(path_); }
    TemporaryFolder(const TemporaryFolder&) = delete;
    TemporaryFolder& operator=(const TemporaryFolder&) = delete;

    const std::string& path() const { return path_; }
    // Writes a file in the directory; returns the file's path.
    std::string file(const std::string& name, const std::string& content) const {
        const std::string path = path_ + "/" + name;
        std::ofstream(path) << content;
        return path;
    }

private:
    std::string path_;
};

}  // namespace

TEST_CASE("the version and the help are printed") {
    const ProgramResult version = runProgram("version");
    CHECK(version.status == kSuccess);
    CHECK(version.output.starts_with("ambercluster "));
    CHECK(version.output.find("unknown") == std::string::npos);
    const ProgramResult help = runProgram("--help");
    CHECK(help.status == kSuccess);
    for (const char* command : {"edge", "core", "store", "check", "inspect", "version"}) {
        CHECK(help.output.find(command) != std::string::npos);
    }
}

TEST_CASE("an invalid command line exits with status 2") {
    CHECK(runProgram("").status == kBadInput);
    CHECK(runProgram("bogus").status == kBadInput);
    CHECK(runProgram("check").status == kBadInput);
    CHECK(runProgram("inspect").status == kBadInput);
}

TEST_CASE("check tells settings from configurations by extension or content") {
    const TemporaryFolder folder;
    for (const std::string& path : {folder.file("a.yaml", kSettings), folder.file("b.yml", kSettings),
                                    folder.file("settings", kSettings), folder.file("c.json", kConfiguration),
                                    folder.file("configuration", kConfiguration)}) {
        CAPTURE(path);
        const ProgramResult result = runProgram("check " + path);
        CHECK(result.status == kSuccess);
        CHECK(result.output == "ok\n");
    }
}

TEST_CASE("a SIGHUP before the settings are read does not end the process") {
    const TemporaryFolder folder;
    const std::string settings = folder.path() + "/settings";
    REQUIRE(mkfifo(settings.c_str(), 0600) == 0);
    const pid_t child = fork();
    REQUIRE(child >= 0);
    if (child == 0) {
        execl(AMBERCLUSTER_PATH, AMBERCLUSTER_PATH, "edge", "--settings", settings.c_str(),
              static_cast<char*>(nullptr));
        _exit(127);
    }
    const int writer = open(settings.c_str(), O_WRONLY);  // returns once the process opens its settings
    REQUIRE(writer >= 0);
    REQUIRE(kill(child, SIGHUP) == 0);
    close(writer);
    int status = 0;
    REQUIRE(waitpid(child, &status, 0) == child);
    REQUIRE(WIFEXITED(status));
    CHECK(WEXITSTATUS(status) == kBadInput);  // the settings are empty
}

TEST_CASE("check prints file, field and reason of an error and exits with status 2") {
    const TemporaryFolder folder;
    const std::string settings = folder.file("a.yaml", "nodeName: n\nip: here\n");
    const ProgramResult bad_settings = runProgram("check " + settings);
    CHECK(bad_settings.status == kBadInput);
    CHECK(bad_settings.output == settings + ": zone: is missing\n");

    const std::string configuration =
        folder.file("b.json", R"({"generation":1,"routes":[{"name":3}],"services":[]})");
    const ProgramResult bad_configuration = runProgram("check " + configuration);
    CHECK(bad_configuration.status == kBadInput);
    CHECK(bad_configuration.output.starts_with(configuration + ": routes[0]"));

    const ProgramResult no_file = runProgram("check /tmp/there/is/none");
    CHECK(no_file.status == kBadInput);
    CHECK(no_file.output == "/tmp/there/is/none: file: cannot be read\n");
}

TEST_CASE("a role with an error in its settings prints one line and exits with status 2") {
    const TemporaryFolder folder;
    const std::string settings = folder.file("a.yaml", "nodeName: n\nzone: z\n");
    const std::string error = settings + ": ip: is missing\n";
    for (const std::string role : {"edge", "core", "store"}) {
        CAPTURE(role);
        const ProgramResult by_option = runProgram(role + " --settings " + settings);
        CHECK(by_option.status == kBadInput);
        CHECK(by_option.output == error);
        const ProgramResult by_variable = runProgram(role, "AMBERSWITCH_NODE_FILE=" + settings);
        CHECK(by_variable.status == kBadInput);
        CHECK(by_variable.output == error);
        const ProgramResult without = runProgram(role);
        CHECK(without.status == kBadInput);
        CHECK(without.output.find("--settings") != std::string::npos);
    }
}

TEST_CASE("inspect fails on a directory that holds no store") {
    const TemporaryFolder folder;
    const ProgramResult result = runProgram("inspect " + folder.path() + "/none");
    CHECK(result.status == kFailure);
    CHECK(result.output.find(folder.path()) != std::string::npos);
}
