// A preallocated file of the ring, and a buffered reader for it.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "cluster/storage/record_format.hpp"

namespace amberswitch::cluster {

// File of a ring slot. Every member function throws StorageError on an I/O error. One thread may write while
// another one reads.
class SegmentFile {
public:
    explicit SegmentFile(std::string path) : path_(std::move(path)) {}
    ~SegmentFile();
    SegmentFile(const SegmentFile&) = delete;
    SegmentFile& operator=(const SegmentFile&) = delete;

    // Opens the file for reading and writing. Returns false if it doesn't exist.
    bool openExisting();
    // Opens the file for reading only. Returns false if it doesn't exist.
    bool openForReading();
    // Creates the file and its directory if necessary and allocates its full length. Syncs the directory of a
    // new file, so that its name is durable. May be called again after a failure.
    void prepare(std::uint64_t bytes);
    // Replaces the descriptor of an open file with a newly opened one, after an error. Other threads may read
    // meanwhile.
    void reopen();
    std::uint64_t bytes() const;
    void writeAt(std::uint64_t offset, std::string_view bytes);
    // Reads `size` bytes, or fewer at the end of the file.
    std::string readAt(std::uint64_t offset, std::size_t size) const;
    void sync();

private:
    bool open(int flags);
    void createParentDirectory() const;
    void allocate(std::uint64_t bytes);
    void syncDirectory() const;

    const std::string path_;
    std::atomic<int> descriptor_{-1};
    // Used by the writing thread only:
    bool is_allocated_ = true;  // false after a failed allocation; prepare() then allocates again
    bool directory_synced_ = true;
};

// Reads a file through a buffered window, so that a sequential scan takes few system calls.
class SegmentReader {
public:
    explicit SegmentReader(const SegmentFile& file) : file_(file) {}

    // Returns the bytes from `offset`, at least `size` of them unless the file ends before. The view is valid
    // until the next call.
    std::string_view at(std::uint64_t offset, std::size_t size);
    std::uint64_t fileBytes() const { return file_.bytes(); }

private:
    const SegmentFile& file_;
    std::string window_;
    std::uint64_t window_start_ = 0;
};

// Visits the valid records of a segment in order and stops at the first invalid one. Returns its offset.
std::uint64_t scanRecords(SegmentReader& reader, const SegmentHeader& header,
                          const std::function<void(std::uint64_t offset, const RecordView& record)>& visit);

// Returns the segment header of the file if it is valid.
std::optional<SegmentHeader> readSegmentHeader(SegmentReader& reader);

}  // namespace amberswitch::cluster
