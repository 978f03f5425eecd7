// The kept view: what is read back is what was written, and anything else is refused with one line.
#include <gtest/gtest.h>
#include <unistd.h>

#include <fstream>

#include "consul/keep.hpp"

namespace amberswitch::consul {
namespace {

using namespace std::chrono_literals;

Kept sample(std::size_t count = 5) {
    Kept kept;
    kept.site = 77, kept.at = Time(1'700'000'000s);
    for (std::size_t i = 0; i < count; ++i) {
        Instance one;
        one.id = "s" + std::to_string(i), one.address = "10.0.0.1:" + std::to_string(i + 1);
        one.health = static_cast<Health>(i % 3);
        one.passingWeight = 1.5 * static_cast<double>(i), one.zone = 1, one.cell = static_cast<int>(i);
        one.since = Time(3s), one.created = i << 40;
        kept.scopes[i % 2 ? "a" : "b"].push_back(one);
    }
    return kept;
}

struct Kept_ : testing::Test {
    const std::string path = testing::TempDir() + "amberswitch-view-" + std::to_string(::getpid());
    std::vector<std::string> said;
    Time now{1'700'000'100s};
    Keeper keeper{{path, 1h}, 77, [this](const std::string& line) { said.push_back(line); }};
    void put(const std::string& bytes) { std::ofstream(path, std::ios::binary) << bytes; }
    ~Kept_() override { ::unlink(path.c_str()); }
};

TEST_F(Kept_, WhatIsWrittenIsReadBack) {
    EXPECT_EQ(keeper.load(now), std::nullopt) << "the first start";
    EXPECT_TRUE(said.empty());
    keeper.save(now, sample().scopes);
    const auto kept = keeper.load(now + 1s);
    ASSERT_TRUE(kept);
    EXPECT_EQ(kept->scopes, sample().scopes);
    EXPECT_EQ(kept->at, now);
    EXPECT_NE(::access((path + ".new").c_str(), F_OK), 0);
    View view;
    for (const auto& [scope, list] : kept->scopes) view.answer(kept->at, scope, list);
    EXPECT_EQ(view.listings(), sample().scopes);
}

TEST_F(Kept_, EachTornOrChangedByteIsFound) {
    const std::string whole = encode(sample());
    std::string fault;
    ASSERT_EQ(decode(whole, fault), sample());
    for (std::size_t cut = 0; cut < whole.size(); ++cut) {
        fault.clear();
        EXPECT_EQ(decode(std::string_view(whole).substr(0, cut), fault), std::nullopt) << cut;
        EXPECT_FALSE(fault.empty());
        std::string changed = whole;
        changed[cut] = static_cast<char>(changed[cut] ^ 0x10);
        EXPECT_EQ(decode(changed, fault), std::nullopt) << cut;
    }
}

TEST_F(Kept_, WhatCannotBeUsedIsLeftAsideWithOneLine) {
    const auto line = [&](Time at) {
        said.clear();
        EXPECT_EQ(keeper.load(at), std::nullopt);
        return said.size() == 1 ? said[0] : std::to_string(said.size()) + " lines";
    };
    const std::string start = "the kept view is left aside: " + path + ": ";
    put("no such file");
    EXPECT_EQ(line(now), start + "it is no file of this kind");
    put(encode(sample()).substr(0, 60));
    EXPECT_EQ(line(now), start + "it is torn");
    put(encode(sample()));
    EXPECT_EQ(line(now + 2h), start + "it is too old");
    EXPECT_EQ(line(now - 1h), start + "it is from the future");
    Kept other = sample();
    other.site = 5;
    put(encode(other));
    EXPECT_EQ(line(now), start + "it is of another site");
    EXPECT_EQ(keeper.counters().refused, 5u);
    std::vector<std::string> lines;
    Keeper nowhere({"/nowhere/at/all", 1h}, 77, [&](const std::string& text) { lines.push_back(text); });
    nowhere.save(now, {}), nowhere.save(now, {});
    EXPECT_EQ(lines.size(), 1u) << "said once";
    EXPECT_EQ(nowhere.counters().failed, 2u);
}

}  // namespace
}  // namespace amberswitch::consul
