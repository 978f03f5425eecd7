// Which files a ring has in its folder, and which of them hold segments that are current.
#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "cluster/storage/record_format.hpp"
#include "cluster/storage/segment_file.hpp"

namespace amberswitch::cluster {

std::string segmentPath(const std::string& directory, std::size_t slot);
// One more than the highest slot that has a file. Throws StorageError.
std::size_t slotCountInDirectory(const std::string& directory);

// A file with a valid header.
struct FoundSegment {
    SegmentHeader header;
    std::size_t slot = 0;
};

struct RingLayout {
    std::vector<FoundSegment> current;        // by generation, the oldest first
    std::vector<FoundSegment> released;       // older than what the newest header calls the oldest; void
    std::vector<std::size_t> without_header;  // slots whose file has no valid header
    std::vector<std::size_t> missing;         // slots without a file
};

enum class FileAccess { read_only, read_write };

// Opens the files that exist; the index of each is its slot. Throws StorageError.
RingLayout readLayout(const std::vector<std::shared_ptr<SegmentFile>>& files, FileAccess access);

}  // namespace amberswitch::cluster
