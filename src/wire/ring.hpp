// A ring buffer for one direction of a connection. It is small, so that a thousand connections need little
// memory. Larger messages are moved out of it while they are parsed, or into it while they are written.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstring>
#include <span>
#include <string>
#include <string_view>

namespace amberswitch::wire {

class Ring {
public:
    static constexpr std::size_t kSize = 4096;

    bool empty() const { return used_ == 0; }
    std::size_t size() const { return used_; }

    std::span<char> space() {  // the longest contiguous free space
        const std::size_t tail = (head_ + used_) % kSize;
        return {bytes_.data() + tail, std::min(kSize - used_, kSize - tail)};
    }
    void filled(std::size_t n) { used_ += n; }
    std::span<const char> front() const {  // the longest contiguous data
        return {bytes_.data() + head_, std::min(used_, kSize - head_)};
    }
    void taken(std::size_t n) {
        used_ -= n;
        head_ = used_ == 0 ? 0 : (head_ + n) % kSize;  // restarts at 0 when empty, for long contiguous runs
    }
    std::size_t put(std::string_view bytes) {  // as much as fits
        std::size_t done = 0;
        while (done < bytes.size() && used_ < kSize) {
            const auto room = space();
            const std::size_t n = std::min(room.size(), bytes.size() - done);
            std::memcpy(room.data(), bytes.data() + done, n);
            filled(n), done += n;
        }
        return done;
    }

private:
    std::array<char, kSize> bytes_;
    std::size_t head_ = 0, used_ = 0;
};

// The output of a connection: the ring, and a queue of bytes that do not fit into it yet.
class Outbox {
public:
    void put(std::string_view bytes) {
        const std::size_t now = waiting_.empty() ? ring_.put(bytes) : 0;
        waiting_.append(bytes.substr(now));
    }
    std::span<const char> pending() {  // bytes that the driver starts to write
        lent_ = ring_.front().size();
        return ring_.front();
    }
    // Bytes that the driver has got and not confirmed; the peer may have received them.
    std::size_t lent() const { return lent_; }
    void sent(std::size_t n) {
        lent_ = 0;
        ring_.taken(n);
        at_ += ring_.put(std::string_view(waiting_).substr(at_));
        if (at_ == waiting_.size()) waiting_ = {}, at_ = 0;
        // Removes sent bytes even if the queue never becomes empty under continuous output.
        if (at_ >= 8 * Ring::kSize && 2 * at_ >= waiting_.size()) waiting_.erase(0, at_), at_ = 0;
    }
    bool empty() const { return ring_.empty(); }
    std::size_t size() const { return ring_.size() + waiting_.size() - at_; }

private:
    Ring ring_;
    std::string waiting_;
    std::size_t at_ = 0, lent_ = 0;
};

}  // namespace amberswitch::wire
