// Finds the files of a ring in its directory and determines which of them hold current segments.
#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "cluster/storage/record_format.hpp"
#include "cluster/storage/segment_file.hpp"

namespace amberswitch::cluster {

// Path of the segment file of a slot.
std::string segmentPath(const std::string& directory, std::size_t slot);
// Returns the highest slot number with a file, plus one. Throws StorageError.
std::size_t slotCountInDirectory(const std::string& directory);

// A segment file with a valid header.
struct FoundSegment {
    SegmentHeader header;
    std::size_t slot = 0;
};

struct RingLayout {
    std::vector<FoundSegment> current;  // ordered by generation, oldest first
    // Older than the oldest generation named by the newest header; their records are ignored.
    std::vector<FoundSegment> released;
    std::vector<std::size_t> without_header;  // slots whose file has no valid header
    std::vector<std::size_t> missing;         // slots without a file
};

enum class FileAccess { read_only, read_write };

// Opens the existing files and reads their headers. The index of a file in `files` is its slot. Throws
// StorageError.
RingLayout readLayout(const std::vector<std::shared_ptr<SegmentFile>>& files, FileAccess access);

}  // namespace amberswitch::cluster
