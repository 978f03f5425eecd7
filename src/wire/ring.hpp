// One ring buffer for one direction of a connection. Small, so that a thousand connections stay cheap: what
// is larger than the ring is moved out of it as it is parsed, or into it as it is written.
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

    std::span<char> space() {  // the longest free run
        const std::size_t tail = (head_ + used_) % kSize;
        return {bytes_.data() + tail, std::min(kSize - used_, kSize - tail)};
    }
    void filled(std::size_t n) { used_ += n; }
    std::span<const char> front() const {  // the longest run to take
        return {bytes_.data() + head_, std::min(used_, kSize - head_)};
    }
    void taken(std::size_t n) {
        used_ -= n;
        head_ = used_ == 0 ? 0 : (head_ + n) % kSize;  // an empty ring starts over: runs stay long
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

// The outgoing direction: the ring, and what waits to go through it.
class Outbox {
public:
    void put(std::string_view bytes) {
        const std::size_t now = waiting_.empty() ? ring_.put(bytes) : 0;
        waiting_.append(bytes.substr(now));
    }
    std::span<const char> pending() {  // for the driver, which writes them from now on
        lent_ = ring_.front().size();
        return ring_.front();
    }
    // Bytes that the driver was given and has not confirmed: the other side may have them already.
    std::size_t lent() const { return lent_; }
    void sent(std::size_t n) {
        lent_ = 0;
        ring_.taken(n);
        at_ += ring_.put(std::string_view(waiting_).substr(at_));
        if (at_ == waiting_.size()) waiting_ = {}, at_ = 0;
        // Guards against a stream of puts that never lets it run empty: what has gone is cut off.
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
