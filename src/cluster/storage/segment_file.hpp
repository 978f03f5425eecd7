// One preallocated file of the ring, and a buffered reader over it.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "cluster/storage/record_format.hpp"

namespace amberswitch::cluster {

// Every member throws StorageError if the disk refuses. One thread may write while another one reads.
class SegmentFile {
public:
    explicit SegmentFile(std::string path) : path_(std::move(path)) {}
    ~SegmentFile();
    SegmentFile(const SegmentFile&) = delete;
    SegmentFile& operator=(const SegmentFile&) = delete;

    // Opens the file if it exists; tells whether it does.
    bool openExisting();
    // The same without the right to write.
    bool openForReading();
    // Creates the file and its folder if need be and gives it its full length. A new file's name is made to
    // last. May be repeated after it has failed.
    void prepare(std::uint64_t bytes);
    // Opens an open file once more, after an error; others may read meanwhile.
    void reopen();
    std::uint64_t bytes() const;
    void writeAt(std::uint64_t offset, std::string_view bytes);
    // Reads up to `size` bytes; fewer only at the end of the file.
    std::string readAt(std::uint64_t offset, std::size_t size) const;
    void sync();

private:
    bool open(int flags);
    void createParentDirectory() const;
    void allocate(std::uint64_t bytes);
    void syncDirectory() const;

    const std::string path_;
    std::atomic<int> descriptor_{-1};
    // Of the thread that writes:
    bool is_allocated_ = true;  // as far as prepare() has to care
    bool directory_synced_ = true;
};

// Reads a file through a window, so that walking over it takes few system calls.
class SegmentReader {
public:
    explicit SegmentReader(const SegmentFile& file) : file_(file) {}

    // The bytes from `offset`, at least `size` unless the file ends; valid until the next call.
    std::string_view at(std::uint64_t offset, std::size_t size);
    std::uint64_t fileBytes() const { return file_.bytes(); }

private:
    const SegmentFile& file_;
    std::string window_;
    std::uint64_t window_start_ = 0;
};

// Visits the valid records of a segment in order and stops at the first bad one. Returns where that is.
std::uint64_t scanRecords(SegmentReader& reader, const SegmentHeader& header,
                          const std::function<void(std::uint64_t offset, const RecordView& record)>& visit);

// The header of the segment in this file, if it has a valid one.
std::optional<SegmentHeader> readSegmentHeader(SegmentReader& reader);

}  // namespace amberswitch::cluster
