#include "consul/keep.hpp"

#include <fcntl.h>
#include <unistd.h>
#include <xxhash.h>

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <fstream>

#include "state.pb.h"

namespace amberswitch::consul {

namespace {

constexpr std::string_view kMark = "ASWVIEW1";
constexpr std::size_t kHead = 16;

}  // namespace

std::string encode(const Kept& kept) {
    kept::State state;
    state.set_site(kept.site);
    state.set_at_ns(kept.at.count());
    for (const auto& [name, instances] : kept.scopes) {
        kept::Scope& scope = *state.add_scopes();
        scope.set_name(name);
        for (const Instance& from : instances) {
            kept::Instance& to = *scope.add_instances();
            to.set_id(from.id), to.set_address(from.address);
            to.set_health(static_cast<std::uint32_t>(from.health));
            to.set_passing_weight(from.passingWeight), to.set_warning_weight(from.warningWeight);
            to.set_zone(from.zone), to.set_kind(from.kind), to.set_cell(from.cell);
            to.set_since_ns(from.since.count()), to.set_created(from.created);
        }
    }
    const std::string body = state.SerializeAsString();
    std::string out(kMark);
    const std::uint64_t sum = XXH64(body.data(), body.size(), 0);
    for (int shift = 0; shift < 64; shift += 8) out += static_cast<char>(sum >> shift & 0xff);
    return out += body;
}

std::optional<Kept> decode(std::string_view bytes, std::string& fault) {
    const auto bad = [&fault](const char* why) {
        fault = why;
        return std::nullopt;
    };
    if (bytes.size() > kMostKept) return bad("it is too long");
    if (bytes.size() < kHead || bytes.substr(0, kMark.size()) != kMark)
        return bad("it is no file of this kind");
    std::uint64_t sum = 0;
    for (std::size_t i = 0; i < 8; ++i)
        sum |= static_cast<std::uint64_t>(static_cast<unsigned char>(bytes[kMark.size() + i])) << (8 * i);
    const std::string_view body = bytes.substr(kHead);
    if (XXH64(body.data(), body.size(), 0) != sum) return bad("it is torn");
    kept::State state;
    if (!state.ParseFromArray(body.data(), static_cast<int>(body.size()))) return bad("it can't be read");
    Kept out;
    out.site = state.site(), out.at = Time(state.at_ns());
    for (const kept::Scope& scope : state.scopes()) {
        auto& instances = out.scopes[scope.name()];
        for (const kept::Instance& from : scope.instances()) {
            if (from.health() > static_cast<std::uint32_t>(Health::critical)) return bad("it can't be read");
            Instance to;
            to.id = from.id(), to.address = from.address();
            to.health = static_cast<Health>(from.health());
            to.passingWeight = from.passing_weight(), to.warningWeight = from.warning_weight();
            to.zone = from.zone(), to.kind = from.kind(), to.cell = from.cell();
            to.since = Time(from.since_ns()), to.created = from.created();
            instances.push_back(std::move(to));
        }
    }
    return out;
}

std::optional<Kept> Keeper::load(Time now) {
    if (!on()) return std::nullopt;
    std::ifstream file(config_.file, std::ios::binary);
    if (!file) return std::nullopt;  // the first start
    std::string bytes(kMostKept + 1, '\0');
    file.read(bytes.data(), static_cast<std::streamsize>(bytes.size()));
    bytes.resize(static_cast<std::size_t>(file.gcount()));
    std::string fault;
    auto kept = decode(bytes, fault);
    if (kept && kept->site != site_) fault = "it is of another site";
    if (kept && kept->at > now) fault = "it is from the future";
    if (kept && now - kept->at > config_.mostAge) fault = "it is too old";
    if (!fault.empty()) {
        ++counters_.refused;
        say_("the kept view is left aside: " + config_.file + ": " + fault);
        return std::nullopt;
    }
    ++counters_.loaded;
    return kept;
}

void Keeper::save(Time now, const std::map<View::Scope, std::vector<Instance>>& scopes) {
    if (!on()) return;
    const std::string bytes = encode({site_, now, scopes}), beside = config_.file + ".new";
    const auto failed = [&](const char* what) {
        ++counters_.failed;
        if (!std::exchange(told_, true))
            say_("the view can't be kept: " + config_.file + ": " + what + ": " + std::strerror(errno));
    };
    if (bytes.size() > kMostKept) return errno = EFBIG, failed("size");
    const int to = ::open(beside.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
    if (to < 0) return failed("open");
    std::size_t done = 0;
    while (done < bytes.size()) {
        const ssize_t n = ::write(to, bytes.data() + done, bytes.size() - done);
        if (n <= 0) break;
        done += static_cast<std::size_t>(n);
    }
    // Not forced to the disk, which would hold up the loop: a file that a power cut tears has a wrong sum.
    const bool whole = done == bytes.size();
    if (::close(to) != 0 || !whole) return failed("write");
    if (std::rename(beside.c_str(), config_.file.c_str()) != 0) return failed("rename");
    ++counters_.saved, told_ = false;
}

}  // namespace amberswitch::consul
