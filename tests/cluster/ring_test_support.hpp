// Temporary directories for tests of the ring, and a disk that simulates power loss and I/O errors. The test
// program replaces fdatasync, pwrite, pread and fallocate of the C library, to track which bytes a sync has
// covered and to inject errors.
#pragma once

#include <fcntl.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace amberswitch::cluster::ring_test {

inline std::string readFile(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

inline void writeFile(const std::string& path, const std::string& content) {
    std::ofstream file(path, std::ios::binary | std::ios::trunc);
    file << content;
    if (!file.flush()) throw std::runtime_error("cannot write " + path);
}

// A directory that is removed at the end of the scope.
class TemporaryFolder {
public:
    TemporaryFolder() {
        std::string pattern = root() + "/ring_test_XXXXXX";
        if (::mkdtemp(pattern.data()) == nullptr) throw std::runtime_error("no temporary folder");
        path_ = pattern;
    }
    ~TemporaryFolder() { std::filesystem::remove_all(path_); }
    TemporaryFolder(const TemporaryFolder&) = delete;
    TemporaryFolder& operator=(const TemporaryFolder&) = delete;
    const std::string& path() const { return path_; }

private:
    // In memory if possible, unless TMPDIR is set.
    static std::string root() {
        const std::string in_memory = "/dev/shm";
        const bool asked = std::getenv("TMPDIR") != nullptr;
        if (!asked && ::access(in_memory.c_str(), W_OK) == 0) return in_memory;
        return std::filesystem::temp_directory_path().string();
    }

    std::string path_;
};

// Intercepts the file operations of this process during its lifetime. If several exist, the one created last
// does.
class FaultInjectingDisk {
public:
    FaultInjectingDisk() { current() = this; }
    ~FaultInjectingDisk() { current() = nullptr; }
    FaultInjectingDisk(const FaultInjectingDisk&) = delete;
    FaultInjectingDisk& operator=(const FaultInjectingDisk&) = delete;

    static FaultInjectingDisk*& current() {
        static FaultInjectingDisk* watched = nullptr;
        return watched;
    }

    // The errno value with which every call of the kind fails; 0: calls succeed.
    std::atomic<int> sync_error{0};
    std::atomic<int> write_error{0};
    std::atomic<int> reserve_error{0};  // of fallocate on a new file
    std::atomic<int> read_error{0};
    // Number of writes before write_error takes effect; only half of the last of them is written.
    std::atomic<int> writes_before_error{0};
    std::atomic<std::uint64_t> syncs{0};

    // Blocks all syncs until releaseSyncs().
    void holdSyncs() {
        const std::lock_guard lock(mutex_);
        held_ = true;
    }
    void releaseSyncs() {
        {
            const std::lock_guard lock(mutex_);
            held_ = false;
        }
        changed_.notify_all();
    }

    // Returns how many bytes of a write of that size are written: all, half or none.
    std::size_t admittedBytes(std::size_t bytes) {
        if (write_error == 0) return bytes;
        if (writes_before_error <= 0) return 0;
        return --writes_before_error > 0 ? bytes : bytes / 2;
    }
    void recordWrite(int descriptor, std::size_t offset, std::size_t bytes) {
        {
            const std::lock_guard lock(mutex_);
            written_bytes_ += bytes;
            FileState& state = files_[pathOf(descriptor)];
            state.dirty.emplace_back(offset, bytes);
            if (!state.lost.empty()) {
                state.lost.resize(std::max(state.lost.size(), offset + bytes), false);
                std::fill_n(state.lost.begin() + static_cast<std::ptrdiff_t>(offset), bytes, false);
            }
        }
        changed_.notify_all();
    }
    // Waits until this many bytes have been written in total. Returns false after kMaxWait.
    bool waitUntilWritten(std::size_t bytes) {
        std::unique_lock lock(mutex_);
        return changed_.wait_for(lock, kMaxWait, [this, bytes] { return written_bytes_ >= bytes; });
    }

    int sync(int descriptor) {
        {
            std::unique_lock lock(mutex_);
            changed_.wait(lock, [this] { return !held_; });
        }
        ++syncs;
        const std::string path = pathOf(descriptor);
        const std::lock_guard lock(mutex_);
        FileState& state = files_[path];
        if (sync_error != 0) {
            state.loseDirty();
            errno = sync_error;
            return -1;
        }
        std::string content = readFile(path);
        for (std::size_t i = 0; i < content.size() && i < state.lost.size(); ++i) {
            if (state.lost[i]) content[i] = i < durable_[path].size() ? durable_[path][i] : '\0';
        }
        durable_[path] = content;
        state.dirty.clear();
        return 0;
    }

    // Restores in each file the bytes that its last sync covered, plus a random part of later writes. There
    // must be no concurrent writes.
    void losePower(const std::string& folder, std::mt19937_64& random) {
        const std::lock_guard lock(mutex_);
        const bool lose_all_unsynced = random() % 4 == 0;
        for (const auto& item : std::filesystem::directory_iterator(folder)) {
            const std::string path = item.path().string();
            const auto found = durable_.find(path);
            if (found == durable_.end()) {
                if (lose_all_unsynced || random() % 2 == 0) {
                    std::filesystem::remove(path);
                    continue;
                }
            }
            const std::string durable = found == durable_.end() ? std::string() : found->second;
            const std::string left = lose_all_unsynced ? durable : tear(durable, readFile(path), random);
            writeFile(path, left);
            durable_[path] = left;
            files_.erase(path);
        }
    }

private:
    static constexpr std::chrono::seconds kMaxWait{20};

    // Models the kernel's page cache: after a failed sync the pages are marked clean and never written back,
    // so only bytes that are written again can become durable.
    struct FileState {
        // Offset and size of each write since the last sync.
        std::vector<std::pair<std::size_t, std::size_t>> dirty;
        std::vector<bool> lost;

        void loseDirty() {
            for (const auto& [offset, size] : dirty) {
                lost.resize(std::max(lost.size(), offset + size), false);
                std::fill_n(lost.begin() + static_cast<std::ptrdiff_t>(offset), size, true);
            }
            dirty.clear();
        }
    };

    static std::string pathOf(int descriptor) {
        return std::filesystem::read_symlink("/proc/self/fd/" + std::to_string(descriptor));
    }

    static std::string tear(const std::string& durable, const std::string& written, std::mt19937_64& random) {
        if (durable == written) return written;
        constexpr std::size_t kBlockBytes = 64;
        std::string left = written;
        const auto mode = random() % 3;
        for (std::size_t start = 0; start < written.size(); start += kBlockBytes) {
            const std::size_t end = std::min(start + kBlockBytes, written.size());
            if (durable.size() >= end &&
                durable.compare(start, end - start, written, start, end - start) == 0)
                continue;
            if (mode == 0 || random() % 2 == 0) continue;  // this block survives
            const std::size_t torn_from = start + random() % (end - start);
            for (std::size_t i = torn_from; i < end; ++i) {
                const char before = i < durable.size() ? durable[i] : '\0';
                left[i] = mode == 1 ? before : static_cast<char>(random());
            }
            // Bytes covered by an earlier sync and not changed since keep their value even in a torn block.
            for (std::size_t i = torn_from; i < end; ++i) {
                if (i < durable.size() && durable[i] == written[i]) left[i] = written[i];
            }
        }
        return left;
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    bool held_ = false;
    std::size_t written_bytes_ = 0;
    std::map<std::string, std::string> durable_;
    std::map<std::string, FileState> files_;
};

}  // namespace amberswitch::cluster::ring_test

// These functions replace those of the C library in the test program.
extern "C" inline __attribute__((used)) int fdatasync(int descriptor) {
    using amberswitch::cluster::ring_test::FaultInjectingDisk;
    if (FaultInjectingDisk* disk = FaultInjectingDisk::current()) return disk->sync(descriptor);
    return static_cast<int>(::syscall(SYS_fdatasync, descriptor));
}

extern "C" inline __attribute__((used)) ssize_t pwrite(int descriptor, const void* bytes, std::size_t size,
                                                       off_t offset) {
    using amberswitch::cluster::ring_test::FaultInjectingDisk;
    FaultInjectingDisk* disk = FaultInjectingDisk::current();
    const std::size_t admitted = disk == nullptr ? size : disk->admittedBytes(size);
    if (admitted == 0 && size > 0) {
        errno = disk->write_error;
        return -1;
    }
    const ssize_t written = ::syscall(SYS_pwrite64, descriptor, bytes, admitted, offset);
    if (disk != nullptr && written > 0) {
        disk->recordWrite(descriptor, static_cast<std::size_t>(offset), static_cast<std::size_t>(written));
    }
    return written;
}

extern "C" inline __attribute__((used)) ssize_t pread(int descriptor, void* bytes, std::size_t size,
                                                      off_t offset) {
    using amberswitch::cluster::ring_test::FaultInjectingDisk;
    const FaultInjectingDisk* const disk = FaultInjectingDisk::current();
    if (disk != nullptr && disk->read_error != 0) {
        errno = disk->read_error;
        return -1;
    }
    return ::syscall(SYS_pread64, descriptor, bytes, size, offset);
}

extern "C" inline __attribute__((used)) int fallocate(int descriptor, int mode, off_t offset, off_t length) {
    using amberswitch::cluster::ring_test::FaultInjectingDisk;
    const FaultInjectingDisk* const disk = FaultInjectingDisk::current();
    if (disk != nullptr && disk->reserve_error != 0) {
        errno = disk->reserve_error;
        return -1;
    }
    return static_cast<int>(::syscall(SYS_fallocate, descriptor, mode, offset, length));
}

// Does nothing: only directories are synced with fsync, and the simulated power loss doesn't depend on it. So
// no test waits for the real disk.
extern "C" inline __attribute__((used)) int fsync(int) {
    return 0;
}
