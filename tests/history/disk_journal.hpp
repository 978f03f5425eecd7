// Records the writes and syncs of this process to the files of one directory, and derives the states in which
// a power loss after each step may leave these files. Replaces pwrite, fdatasync and fsync of the C library
// in the whole program.
#pragma once

#include <sys/syscall.h>
#include <unistd.h>

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <mutex>
#include <random>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace amberswitch::cluster::history {

// A directory, in memory if possible, that is removed at the end of the scope.
class ScratchFolder {
public:
    ScratchFolder() {
        std::string pattern = "/dev/shm/history_test_XXXXXX";
        if (::access("/dev/shm", W_OK) != 0)
            pattern = (std::filesystem::temp_directory_path() / "history_test_XXXXXX").string();
        if (::mkdtemp(pattern.data()) == nullptr) throw std::runtime_error("no temporary folder");
        path_ = pattern;
    }
    ~ScratchFolder() { std::filesystem::remove_all(path_); }
    ScratchFolder(const ScratchFolder&) = delete;
    ScratchFolder& operator=(const ScratchFolder&) = delete;
    const std::string& path() const { return path_; }

private:
    std::string path_;
};

// One step: bytes written to a file, or a completed sync of it.
struct DiskStep {
    std::string path;
    bool is_sync = false;
    std::uint64_t offset = 0;
    std::string bytes;
};

class DiskJournal {
public:
    // Records the steps on files of that directory during its lifetime. At most one exists at a time.
    explicit DiskJournal(std::string folder) : folder_(std::move(folder)) { current() = this; }
    ~DiskJournal() { current() = nullptr; }
    DiskJournal(const DiskJournal&) = delete;
    DiskJournal& operator=(const DiskJournal&) = delete;

    static DiskJournal*& current() {
        static DiskJournal* journal = nullptr;
        return journal;
    }
    void onWrite(int descriptor, std::string_view bytes, std::uint64_t offset) {
        add({pathOf(descriptor), false, offset, std::string(bytes)});
    }
    void onSync(int descriptor) { add({pathOf(descriptor), true, 0, {}}); }
    std::vector<DiskStep> steps() const {
        const std::lock_guard lock(mutex_);
        return steps_;
    }
    std::size_t size() const {
        const std::lock_guard lock(mutex_);
        return steps_.size();
    }

private:
    static std::string pathOf(int descriptor) {
        return std::filesystem::read_symlink("/proc/self/fd/" + std::to_string(descriptor));
    }
    void add(DiskStep step) {
        if (!step.path.starts_with(folder_)) return;
        const std::lock_guard lock(mutex_);
        steps_.push_back(std::move(step));
    }

    std::string folder_;
    mutable std::mutex mutex_;
    std::vector<DiskStep> steps_;
};

// Which writes survive a power loss.
enum class PowerLoss : std::uint8_t {
    keeps_all,     // all writes, as after a kill of the process
    tears_last,    // all writes, but only a prefix of the last one
    keeps_synced,  // only writes covered by a sync
    keeps_some,    // writes covered by a sync, and a random selection of the others
};

// Returns the files after the first `count` steps and a power loss. Files have their full length from the
// first write.
inline std::map<std::string, std::string> filesAfter(const std::vector<DiskStep>& steps, std::size_t count,
                                                     std::uint64_t file_bytes, PowerLoss loss,
                                                     std::mt19937_64& random) {
    std::map<std::string, std::size_t> synced_to;
    for (std::size_t index = 0; index < count; ++index) {
        if (steps[index].is_sync) synced_to[steps[index].path] = index;
    }
    std::map<std::string, std::string> files;
    for (std::size_t index = 0; index < count; ++index) {
        const DiskStep& step = steps[index];
        if (step.is_sync) continue;
        std::string& content = files.try_emplace(step.path, file_bytes, '\0').first->second;
        const auto synced = synced_to.find(step.path);
        const bool is_synced = synced != synced_to.end() && index < synced->second;
        if (!is_synced && loss == PowerLoss::keeps_synced) continue;
        if (!is_synced && loss == PowerLoss::keeps_some && random() % 2 == 0) continue;
        std::size_t kept = step.bytes.size();
        if (!is_synced && loss == PowerLoss::tears_last && index + 1 == count) kept = random() % (kept + 1);
        content.replace(step.offset, kept, step.bytes, 0, kept);
    }
    return files;
}

inline void writeFiles(const std::string& folder, const std::map<std::string, std::string>& files) {
    std::filesystem::remove_all(folder);
    std::filesystem::create_directories(folder);
    for (const auto& [path, content] : files) {
        const std::string name = std::filesystem::path(path).filename().string();
        std::ofstream file(folder + "/" + name, std::ios::binary | std::ios::trunc);
        file << content;
        if (!file.flush()) throw std::runtime_error("cannot write " + name);
    }
}

}  // namespace amberswitch::cluster::history

// These functions replace those of the C library in the test program.
extern "C" inline __attribute__((used)) ssize_t pwrite(int descriptor, const void* bytes, std::size_t size,
                                                       off_t offset) {
    using amberswitch::cluster::history::DiskJournal;
    const ssize_t written = ::syscall(SYS_pwrite64, descriptor, bytes, size, offset);
    if (written > 0 && DiskJournal::current() != nullptr) {
        const std::string_view done(static_cast<const char*>(bytes), static_cast<std::size_t>(written));
        DiskJournal::current()->onWrite(descriptor, done, static_cast<std::uint64_t>(offset));
    }
    return written;
}

extern "C" inline __attribute__((used)) int fdatasync(int descriptor) {
    using amberswitch::cluster::history::DiskJournal;
    if (DiskJournal::current() != nullptr) DiskJournal::current()->onSync(descriptor);
    return 0;
}

extern "C" inline __attribute__((used)) int fsync(int) {
    return 0;
}
