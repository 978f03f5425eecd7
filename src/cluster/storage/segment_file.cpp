#include "cluster/storage/segment_file.hpp"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>

#include "cluster/storage/storage_error.hpp"

namespace amberswitch::cluster {
namespace {

constexpr std::size_t kWindowBytes = 256 * 1024;
constexpr mode_t kFileMode = 0644;

// Closes a file descriptor at the end of the scope.
class ScopedDescriptor {
public:
    explicit ScopedDescriptor(int descriptor) : descriptor_(descriptor) {}
    ~ScopedDescriptor() {
        if (descriptor_ >= 0) ::close(descriptor_);
    }
    ScopedDescriptor(const ScopedDescriptor&) = delete;
    ScopedDescriptor& operator=(const ScopedDescriptor&) = delete;
    int get() const { return descriptor_; }

private:
    int descriptor_;
};

}  // namespace

SegmentFile::~SegmentFile() {
    if (descriptor_ >= 0) ::close(descriptor_);
}

bool SegmentFile::openExisting() {
    return open(O_RDWR);
}

bool SegmentFile::openForReading() {
    return open(O_RDONLY);
}

bool SegmentFile::open(int flags) {
    if (descriptor_ >= 0) return true;
    descriptor_ = ::open(path_.c_str(), flags | O_CLOEXEC);
    if (descriptor_ >= 0) return true;
    if (errno == ENOENT) return false;
    throw StorageError::fromErrno(path_, "open");
}

void SegmentFile::prepare(std::uint64_t bytes) {
    if (!openExisting()) {
        createParentDirectory();
        descriptor_ = ::open(path_.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kFileMode);
        if (descriptor_ < 0) throw StorageError::fromErrno(path_, "create");
        directory_synced_ = false;
    }
    if (!is_allocated_ || this->bytes() != bytes) allocate(bytes);
    if (!directory_synced_) syncDirectory();
    directory_synced_ = true;
}

void SegmentFile::createParentDirectory() const {
    std::error_code error;
    std::filesystem::create_directories(std::filesystem::path(path_).parent_path(), error);
    if (error) throw StorageError(path_, "create folder", error.message());
}

void SegmentFile::reopen() {
    if (descriptor_ < 0) return;
    const ScopedDescriptor fresh(::open(path_.c_str(), O_RDWR | O_CLOEXEC));
    if (fresh.get() < 0) throw StorageError::fromErrno(path_, "reopen");
    // dup3 replaces the old descriptor atomically: a concurrent reader uses either the old or the new one.
    if (::dup3(fresh.get(), descriptor_, O_CLOEXEC) < 0) throw StorageError::fromErrno(path_, "reopen");
}

void SegmentFile::allocate(std::uint64_t bytes) {
    const auto length = static_cast<off_t>(bytes);
    is_allocated_ = false;
    if (::ftruncate(descriptor_, length) != 0) throw StorageError::fromErrno(path_, "set length");
    // Allocating the blocks is optional: a file system that doesn't support it has still set the length.
    if (::fallocate(descriptor_, 0, 0, length) != 0 && errno == ENOSPC) {
        throw StorageError::fromErrno(path_, "reserve");
    }
    is_allocated_ = true;
}

void SegmentFile::syncDirectory() const {
    const std::string folder = std::filesystem::path(path_).parent_path().string();
    const ScopedDescriptor descriptor(::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    if (descriptor.get() < 0 || ::fsync(descriptor.get()) != 0) {
        throw StorageError::fromErrno(folder, "sync folder");
    }
}

std::uint64_t SegmentFile::bytes() const {
    struct stat status {};
    if (::fstat(descriptor_, &status) != 0) throw StorageError::fromErrno(path_, "stat");
    return static_cast<std::uint64_t>(status.st_size);
}

void SegmentFile::writeAt(std::uint64_t offset, std::string_view bytes) {
    while (!bytes.empty()) {
        const ssize_t written = ::pwrite(descriptor_, bytes.data(), bytes.size(), static_cast<off_t>(offset));
        if (written < 0 && errno == EINTR) continue;
        if (written <= 0) throw StorageError::fromErrno(path_, "write");
        bytes.remove_prefix(static_cast<std::size_t>(written));
        offset += static_cast<std::uint64_t>(written);
    }
}

std::string SegmentFile::readAt(std::uint64_t offset, std::size_t size) const {
    std::string bytes(size, '\0');
    std::size_t filled = 0;
    while (filled < size) {
        const ssize_t got =
            ::pread(descriptor_, bytes.data() + filled, size - filled, static_cast<off_t>(offset + filled));
        if (got < 0 && errno == EINTR) continue;
        if (got < 0) throw StorageError::fromErrno(path_, "read");
        if (got == 0) break;
        filled += static_cast<std::size_t>(got);
    }
    bytes.resize(filled);
    return bytes;
}

void SegmentFile::sync() {
    if (::fdatasync(descriptor_) != 0) throw StorageError::fromErrno(path_, "sync");
}

std::string_view SegmentReader::at(std::uint64_t offset, std::size_t size) {
    const bool inside = offset >= window_start_ && offset + size <= window_start_ + window_.size();
    if (!inside) {
        window_ = file_.readAt(offset, std::max(size, kWindowBytes));
        window_start_ = offset;
    }
    return std::string_view(window_).substr(offset - window_start_);
}

std::optional<SegmentHeader> readSegmentHeader(SegmentReader& reader) {
    return decodeSegmentHeader(reader.at(0, kSegmentHeaderBytes));
}

std::uint64_t scanRecords(SegmentReader& reader, const SegmentHeader& header,
                          const std::function<void(std::uint64_t offset, const RecordView& record)>& visit) {
    const std::uint64_t seed = header.checksumSeed();
    const std::uint64_t file_bytes = reader.fileBytes();
    std::uint64_t offset = kSegmentHeaderBytes;
    while (true) {
        const auto record_bytes = peekRecordBytes(reader.at(offset, kRecordHeaderBytes));
        if (!record_bytes || offset + *record_bytes > file_bytes) return offset;
        const auto record = decodeRecord(reader.at(offset, *record_bytes), seed);
        if (!record) return offset;
        visit(offset, *record);
        offset += record->bytes;
    }
}

}  // namespace amberswitch::cluster
