#include "store/keeper.hpp"

#include <fcntl.h>
#include <unistd.h>
#include <xxhash.h>

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <fstream>
#include <utility>

namespace amberswitch::store {

namespace {

constexpr std::size_t kMark = 8, kHead = kMark + 3 * 8;

void put(std::string& to, std::uint64_t number) {
    for (int shift = 0; shift < 64; shift += 8) to += static_cast<char>(number >> shift & 0xff);
}

std::uint64_t get(std::string_view from, std::size_t at) {
    std::uint64_t out = 0;
    for (std::size_t i = 0; i < 8; ++i)
        out |= static_cast<std::uint64_t>(static_cast<unsigned char>(from[at + i])) << (8 * i);
    return out;
}

}  // namespace

std::string seal(std::string_view mark, const Sealed& sealed) {
    std::string rest;
    put(rest, sealed.site), put(rest, static_cast<std::uint64_t>(sealed.at.count()));
    rest += sealed.body;
    std::string out(mark);
    put(out, XXH64(rest.data(), rest.size(), 0));
    return out += rest;
}

std::optional<Sealed> unseal(std::string_view mark, std::string_view bytes, std::string& fault) {
    const auto bad = [&fault](const char* why) {
        fault = why;
        return std::nullopt;
    };
    if (bytes.size() > kMostKept) return bad("it is too long");
    if (bytes.size() < kMark + 8 || bytes.substr(0, kMark) != mark) return bad("it is no file of this kind");
    const std::string_view rest = bytes.substr(kMark + 8);
    if (bytes.size() < kHead || XXH64(rest.data(), rest.size(), 0) != get(bytes, kMark))
        return bad("it is torn");
    return Sealed{get(rest, 0), Time(static_cast<Time::rep>(get(rest, 8))), std::string(rest.substr(16))};
}

std::optional<Sealed> Keeper::load(Time now) {
    if (!on()) return std::nullopt;
    std::ifstream file(config_.file, std::ios::binary);
    if (!file) return std::nullopt;  // the first start
    std::string bytes(kMostKept + 1, '\0');
    file.read(bytes.data(), static_cast<std::streamsize>(bytes.size()));
    bytes.resize(static_cast<std::size_t>(file.gcount()));
    std::string fault;
    auto kept = unseal(mark_, bytes, fault);
    if (kept && kept->site != site_) fault = "it is of another site";
    if (kept && kept->at > now) fault = "it is from the future";
    if (kept && now - kept->at > config_.mostAge) fault = "it is too old";
    if (!fault.empty()) {
        refuse(fault);
        return std::nullopt;
    }
    ++counters_.loaded;
    return kept;
}

void Keeper::refuse(const std::string& why) {
    ++counters_.refused;
    say_("the kept " + what_ + " is left aside: " + config_.file + ": " + why);
}

void Keeper::save(Time now, std::string body) {
    if (!on()) return;
    const std::string bytes = seal(mark_, {site_, now, std::move(body)}), beside = config_.file + ".new";
    const auto failed = [&](const char* what) {
        ++counters_.failed;
        if (!std::exchange(told_, true))
            say_("the " + what_ + " can't be kept: " + config_.file + ": " + what + ": " +
                 std::strerror(errno));
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

}  // namespace amberswitch::store
