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

constexpr std::size_t kMagicBytes = 8, kHeaderBytes = kMagicBytes + 3 * 8;

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

std::string encodeState(std::string_view magic, const StoredState& state) {
    std::string rest;
    put(rest, state.site), put(rest, static_cast<std::uint64_t>(state.at.count()));
    rest += state.body;
    std::string out(magic);
    put(out, XXH64(rest.data(), rest.size(), 0));
    return out += rest;
}

std::optional<StoredState> decodeState(std::string_view magic, std::string_view bytes, std::string& fault) {
    const auto bad = [&fault](const char* why) {
        fault = why;
        return std::nullopt;
    };
    if (bytes.size() > kMaxFileBytes) return bad("it is too long");
    if (bytes.size() < kMagicBytes + 8 || bytes.substr(0, kMagicBytes) != magic)
        return bad("it is no file of this kind");
    const std::string_view rest = bytes.substr(kMagicBytes + 8);
    if (bytes.size() < kHeaderBytes || XXH64(rest.data(), rest.size(), 0) != get(bytes, kMagicBytes))
        return bad("it is torn");
    return StoredState{get(rest, 0), Time(static_cast<Time::rep>(get(rest, 8))),
                       std::string(rest.substr(16))};
}

std::optional<StoredState> StateFile::load(Time now) {
    if (!on()) return std::nullopt;
    std::ifstream file(config_.file, std::ios::binary);
    if (!file) return std::nullopt;  // the first start
    std::string bytes(kMaxFileBytes + 1, '\0');
    file.read(bytes.data(), static_cast<std::streamsize>(bytes.size()));
    bytes.resize(static_cast<std::size_t>(file.gcount()));
    std::string fault;
    auto kept = decodeState(magic_, bytes, fault);
    if (kept && kept->site != site_) fault = "it is of another site";
    if (kept && kept->at > now) fault = "it is from the future";
    if (kept && now - kept->at > config_.maxAge) fault = "it is too old";
    if (!fault.empty()) {
        refuse(fault);
        return std::nullopt;
    }
    ++counters_.loaded;
    return kept;
}

void StateFile::refuse(const std::string& why) {
    ++counters_.refused;
    log_("the kept " + what_ + " is left aside: " + config_.file + ": " + why);
}

void StateFile::save(Time now, std::string body) {
    if (!on()) return;
    const std::string bytes = encodeState(magic_, {site_, now, std::move(body)}),
                      beside = config_.file + ".new";
    const auto failed = [&](const char* what) {
        ++counters_.failed;
        if (!std::exchange(failureLogged_, true))
            log_("the " + what_ + " can't be kept: " + config_.file + ": " + what + ": " +
                 std::strerror(errno));
    };
    if (bytes.size() > kMaxFileBytes) return errno = EFBIG, failed("size");
    const int to = ::open(beside.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
    if (to < 0) return failed("open");
    std::size_t done = 0;
    while (done < bytes.size()) {
        const ssize_t n = ::write(to, bytes.data() + done, bytes.size() - done);
        if (n <= 0) break;
        done += static_cast<std::size_t>(n);
    }
    // No fsync, which would block the event loop. A file torn by a power failure has a wrong checksum.
    const bool whole = done == bytes.size();
    if (::close(to) != 0 || !whole) return failed("write");
    if (std::rename(beside.c_str(), config_.file.c_str()) != 0) return failed("rename");
    ++counters_.saved, failureLogged_ = false;
}

}  // namespace amberswitch::store
