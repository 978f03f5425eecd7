#include "wire.hpp"

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>
#include <string>
#include <vector>

namespace heronmount::wire {
namespace {

std::vector<std::string> linesOf(const std::string& name) {
    std::ifstream file(std::string(HERONMOUNT_SOURCE_DIR "/tests/") + name);
    EXPECT_TRUE(file.good()) << name;
    std::vector<std::string> lines;
    for (std::string line; std::getline(file, line);) lines.push_back(line);
    return lines;
}

std::string play(const std::vector<std::string>& lines) {
    Codec codec;
    std::string out;
    for (const std::string& line : lines)
        if (codec.feed(line)) out += codec.reply();
    return out;
}

std::string joined(const std::vector<std::string>& lines) {
    std::string out;
    for (const std::string& line : lines) out += line + "\n";
    return out;
}

// The error for a bad line, after the given lines were read; "accepted" if there is none.
std::string fault(const std::string& line, const std::vector<std::string>& before = {}) {
    Codec codec;
    for (const std::string& good : before) codec.feed(good);
    try {
        codec.feed(line);
    } catch (const BadLine& bad) {
        return bad.what();
    }
    return "accepted";
}

TEST(Wire, AWholeTranscriptIsAnsweredAsRecorded) {
    EXPECT_EQ(play(linesOf("transcript.in")), joined(linesOf("transcript.out")));
}

TEST(Wire, InstancesAnswerAloneAsTheyDoTogether) {
    const std::vector<std::string> lines = linesOf("transcript.in");
    const auto names = [](const std::string& line, const char* which) {
        return line.find(std::string("\"schedulerId\":\"") + which + '"') != std::string::npos;
    };
    for (const char* one : {"scheduler/0", "scheduler/1"}) {
        std::vector<std::string> own;
        for (const std::string& line : lines)
            if (line.find("schedulerId") == std::string::npos || names(line, one)) own.push_back(line);
        std::string expected, seen;
        std::istringstream both(play(lines)), alone(play(own));
        for (std::string line; std::getline(both, line);)
            if (names(line, one)) expected += line + "\n";
        for (std::string line; std::getline(alone, line);)
            if (names(line, one)) seen += line + "\n";
        EXPECT_FALSE(expected.empty());
        EXPECT_EQ(seen, expected);
    }
}

TEST(Wire, TheSameInputGivesTheSameActions) {
    const std::vector<std::string> lines = linesOf("transcript.in");
    EXPECT_EQ(play(lines), play(lines));
}

TEST(Wire, FaultsAreNamed) {
    const std::string sync = R"({"kind":"sync","t":1000,"turn":1})";
    const std::vector<std::string> batch = {sync};
    std::vector<std::string> spawned;
    for (const std::string& line : linesOf("transcript.in")) {
        spawned.push_back(line);
        if (line.find("\"kind\":\"fleet\"") != std::string::npos) break;
    }
    EXPECT_NE(fault("{\"kind\":").find("not valid JSON"), std::string::npos);
    EXPECT_EQ(fault("[1]"), "field 'line' is not an object");
    EXPECT_EQ(fault(R"({"kind":"sync","turn":1})"), "field 't' is missing");
    EXPECT_EQ(fault(R"({"kind":"sync","t":"x","turn":1})"), "field 't' is not a whole number");
    EXPECT_EQ(fault(R"({"kind":"commit"})"), "'commit' outside a batch");
    EXPECT_EQ(fault(sync, batch), "a batch opens inside a batch");
    EXPECT_EQ(fault(R"({"kind":"tickDue","schedulerId":"scheduler/9","tag":1})", batch),
              "no instance 'scheduler/9' was started");
    EXPECT_EQ(fault(R"({"kind":"tickDue","schedulerId":"scheduler/0"})", spawned), "field 'tag' is missing");
    EXPECT_EQ(fault(R"({"kind":"dance","schedulerId":"scheduler/0"})", spawned),
              "unknown event kind 'dance'");
    EXPECT_EQ(fault(R"({"kind":"workItem","schedulerId":"scheduler/0","tid":1,"category":77,"timeLeft":5})",
                    spawned),
              "unknown class 77");
    EXPECT_EQ(
        fault(
            R"({"kind":"response","schedulerId":"scheduler/0","tid":1,"go":0,"worker":"a:1","outcome":"ok"})",
            spawned),
        "unknown request 1");
    EXPECT_EQ(fault(R"({"kind":"checked","schedulerId":"scheduler/0","worker":"nobody:1","outcome":"ok"})",
                    spawned),
              "unknown worker 'nobody:1'");
    EXPECT_EQ(fault(R"({"kind":"clientLeft","schedulerId":"scheduler/0","tid":3,"extra":[1,2]})", spawned),
              "accepted");  // late events and unknown fields are ignored
    EXPECT_EQ(fault(R"({"kind":"heard","schedulerId":"scheduler/0","author":1,"payload":"6869"})", spawned),
              "accepted");
}

}  // namespace
}  // namespace heronmount::wire
