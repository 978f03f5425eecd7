// Writes one line per event, for tools that aggregate over a fleet. Disabled unless a sink is set, and
// limited to a number of lines per second. Each line starts with the time in milliseconds; unknown values are
// '-'.
#pragma once

#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <string>

#include "heronmount/dispatcher.hpp"

namespace amberswitch {

class Trace {
public:
    using Sink = std::function<void(const std::string&)>;

    void open(Sink sink, std::uint32_t linesPerSecond) {
        sink_ = std::move(sink), maxLinesPerSecond_ = linesPerSecond;
    }
    bool on() const { return static_cast<bool>(sink_); }
    std::uint64_t dropped() const { return dropped_; }

    // Formats like printf; `format` starts with the name of the event.
    [[gnu::format(printf, 3, 4)]] void operator()(heronmount::Time now, const char* format, ...) {
        if (!sink_) return;
        const std::int64_t second = now / std::chrono::seconds(1);
        if (second != second_) second_ = second, lines_ = 0;
        // Limits the log, which would otherwise grow with the load until writing it dominates.
        if (++lines_ > maxLinesPerSecond_) {
            ++dropped_;
            return;
        }
        char text[256];
        const int head = std::snprintf(text, sizeof text, "trace %lld ",
                                       static_cast<long long>(now / std::chrono::milliseconds(1)));
        va_list values;
        va_start(values, format);
        std::vsnprintf(text + head, sizeof text - static_cast<std::size_t>(head), format, values);
        va_end(values);
        sink_(text);
    }

private:
    Sink sink_;
    std::int64_t second_ = -1;
    std::uint32_t lines_ = 0, maxLinesPerSecond_ = 0;
    std::uint64_t dropped_ = 0;
};

}  // namespace amberswitch
