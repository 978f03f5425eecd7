// The disk of a register's voter over thousands of large changes: the ring of the program's own size stays as
// small as it is, and what was accepted last is there after each restart.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <chrono>
#include <filesystem>
#include <memory>
#include <optional>
#include <string>

#include "cluster/control/register_voter.hpp"
#include "cluster/storage/ring_store.hpp"
#include "tests/cluster/manual_scheduler.hpp"
#include "tests/history/disk_journal.hpp"

using namespace amberswitch::cluster;
using namespace amberswitch::cluster::history;

namespace {

// As in apps/ambercluster/roles.cpp.
constexpr std::uint64_t kRingBytes = 24 << 20;
constexpr std::uint32_t kSegmentBytes = 4 << 20;
constexpr std::size_t kValueBytes = 100 * 1000;
constexpr int kRestartEvery = 97;

const NodeAddress kSelf{"10.0.0.1", 7780};

// One voter on its ring; opened anew as often as one likes.
class VoterOnDisk {
public:
    explicit VoterOnDisk(const std::string& folder) : folder_(folder) { open(true); }

    void restart() {
        voter_.reset();
        ring_.reset();
        open(false);
    }
    bool accept(std::uint64_t round, const std::string& value) {
        std::optional<bool> accepted;
        voter_->accept({kConfigKey, {round, "proposer"}, value, voter_->voterSet()},
                       [&accepted](const AcceptReply& answer) { accepted = answer.accepted; });
        return scheduler_.runUntil([&accepted] { return accepted.has_value(); }) && *accepted;
    }
    RegisterVoter& voter() { return *voter_; }
    RingStore& ring() { return *ring_; }

private:
    void open(bool bootstrap) {
        RingOptions options;
        options.capacity_bytes = kRingBytes;
        options.segment_bytes = kSegmentBytes;
        ring_ = std::make_unique<RingStore>(scheduler_, folder_, options);
        const std::vector<NodeAddress> voters{kSelf, {"10.0.0.2", 7780}, {"10.0.0.3", 7780}};
        voter_ = std::make_unique<RegisterVoter>(*ring_, kSelf, voters, bootstrap);
        if (bootstrap) REQUIRE(scheduler_.runUntil([this] { return voter_->canVote(); }));
    }

    std::string folder_;
    ManualScheduler scheduler_;
    std::unique_ptr<RingStore> ring_;
    std::unique_ptr<RegisterVoter> voter_;
};

std::uint64_t bytesIn(const std::string& folder) {
    std::uint64_t bytes = 0;
    for (const auto& item : std::filesystem::directory_iterator(folder)) bytes += item.file_size();
    return bytes;
}

std::string valueOf(int change) {
    std::string value(kValueBytes, static_cast<char>('a' + change % 26));
    value.replace(0, 8, std::to_string(10'000'000 + change));
    return value;
}

void acceptMany(int changes) {
    const ScratchFolder scratch;
    const std::string folder = scratch.path() + "/register";
    VoterOnDisk machine(folder);
    std::uint64_t most_bytes = 0;
    std::uint64_t most_live = 0;
    for (int change = 1; change <= changes; ++change) {
        REQUIRE(machine.accept(static_cast<std::uint64_t>(change), valueOf(change)));
        if (change % kRestartEvery != 0) continue;
        most_bytes = std::max(most_bytes, bytesIn(folder));
        most_live = std::max(most_live, machine.ring().usage().live_bytes);
        machine.restart();
        REQUIRE(machine.voter().canVote());
        REQUIRE(machine.voter().acceptedValue(kConfigKey) == valueOf(change));
    }
    machine.restart();
    CHECK(machine.voter().acceptedValue(kConfigKey) == valueOf(changes));
    MESSAGE(changes << " changes of " << kValueBytes << " bytes: at most " << most_bytes
                    << " bytes of files, " << most_live << " bytes of records");
    CHECK(most_bytes <= kRingBytes);
    CHECK(most_live <= 2 * kValueBytes);
}

}  // namespace

TEST_CASE("the disk of a voter stays bounded over 1000 changes of 100 kB") {
    acceptMany(1000);
}

TEST_CASE("the disk of a voter stays bounded over 10000 changes of 100 kB") {
    acceptMany(10000);
}
