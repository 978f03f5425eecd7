// Text format of metrics, for GET /metrics and GET /counters: one metric per line, its name, a space and its
// value.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace amberswitch::cluster {

class MetricsText {
public:
    // `prefix` is prepended to each name.
    explicit MetricsText(std::string prefix = "") : prefix_(std::move(prefix)) {}

    void add(std::string_view name, std::uint64_t value) {
        text_ += prefix_;
        text_ += name;
        text_ += ' ';
        text_ += std::to_string(value);
        text_ += '\n';
    }
    std::string take() { return std::exchange(text_, {}); }

private:
    std::string prefix_;
    std::string text_;
};

}  // namespace amberswitch::cluster
