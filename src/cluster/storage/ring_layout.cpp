#include "cluster/storage/ring_layout.hpp"

#include <algorithm>
#include <charconv>
#include <filesystem>
#include <optional>
#include <string_view>
#include <system_error>

#include "cluster/storage/storage_error.hpp"

namespace amberswitch::cluster {
namespace {

constexpr std::string_view kPrefix = "segment-";
constexpr std::string_view kSuffix = ".ring";
constexpr std::size_t kMaxSlots = 100'000;  // a file name with a larger number is not a segment's

std::optional<std::size_t> slotOfName(std::string_view name) {
    if (!name.starts_with(kPrefix) || !name.ends_with(kSuffix)) return std::nullopt;
    if (name.size() <= kPrefix.size() + kSuffix.size()) return std::nullopt;
    const std::string_view digits =
        name.substr(kPrefix.size(), name.size() - kPrefix.size() - kSuffix.size());
    std::size_t slot = 0;
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), slot);
    const bool is_number = parsed.ec == std::errc() && parsed.ptr == digits.data() + digits.size();
    if (!is_number || slot >= kMaxSlots) return std::nullopt;
    return slot;
}

}  // namespace

std::string segmentPath(const std::string& directory, std::size_t slot) {
    std::string digits = std::to_string(slot);
    constexpr std::size_t kDigits = 4;
    if (digits.size() < kDigits) digits.insert(0, kDigits - digits.size(), '0');
    return directory + "/" + std::string(kPrefix) + digits + std::string(kSuffix);
}

std::size_t slotCountInDirectory(const std::string& directory) {
    std::size_t slots = 0;
    std::error_code error;
    std::filesystem::directory_iterator item(directory, error);
    const std::filesystem::directory_iterator end;
    while (!error && item != end) {
        const auto slot = slotOfName(item->path().filename().string());
        if (slot) slots = std::max(slots, *slot + 1);
        item.increment(error);
    }
    if (error) throw StorageError(directory, "list", error.message());
    return slots;
}

RingLayout readLayout(const std::vector<std::shared_ptr<SegmentFile>>& files, FileAccess access) {
    RingLayout layout;
    std::vector<FoundSegment> found;
    for (std::size_t slot = 0; slot < files.size(); ++slot) {
        const bool exists =
            access == FileAccess::read_only ? files[slot]->openForReading() : files[slot]->openExisting();
        if (!exists) {
            layout.missing.push_back(slot);
            continue;
        }
        SegmentReader reader(*files[slot]);
        if (const auto header = readSegmentHeader(reader)) {
            found.push_back({*header, slot});
        } else {
            layout.without_header.push_back(slot);
        }
    }
    std::sort(found.begin(), found.end(), [](const FoundSegment& a, const FoundSegment& b) {
        return a.header.generation < b.header.generation;
    });
    for (const FoundSegment& segment : found) {
        const bool released = segment.header.generation < found.back().header.oldest_generation;
        (released ? layout.released : layout.current).push_back(segment);
    }
    return layout;
}

}  // namespace amberswitch::cluster
