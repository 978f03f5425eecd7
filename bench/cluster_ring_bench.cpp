// What the record store on disk costs: processor time of a put, a sync, a read and an opening, and memory of
// a key. Usage: cluster_ring_bench [FOLDER]; the ring is made in FOLDER/ring_bench (default: the temporary
// folder) and removed.
#include <malloc.h>
#include <sys/resource.h>
#include <time.h>

#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <deque>
#include <filesystem>
#include <functional>
#include <memory>
#include <mutex>
#include <stdexcept>
#include <string>

#include "cluster/storage/ring_store.hpp"

namespace amberswitch::cluster {
namespace {

constexpr std::size_t kValueBytes = 3000;
constexpr int kPuts = 100'000;
constexpr int kPutsOfSync = 4;
constexpr int kKeysInUse = 5000;
constexpr int kIndexKeys = 200'000;
constexpr double kMicrosOfSecond = 1e6;

// Runs what other threads post, on the thread that waits.
class WaitingScheduler : public Scheduler {
public:
    SteadyTime now() const override { return {}; }
    std::int64_t wallMillis() const override { return 0; }
    TimerHandle after(Millis, std::function<void()>) override { throw std::logic_error("no timers here"); }
    void post(std::function<void()> work) override {
        {
            const std::lock_guard lock(mutex_);
            posted_.push_back(std::move(work));
        }
        arrived_.notify_one();
    }
    void runOne() {
        std::unique_lock lock(mutex_);
        arrived_.wait(lock, [this] { return !posted_.empty(); });
        const std::function<void()> work = std::move(posted_.front());
        posted_.pop_front();
        lock.unlock();
        work();
    }

private:
    std::mutex mutex_;
    std::condition_variable arrived_;
    std::deque<std::function<void()>> posted_;
};

// Processor time of the whole process, of both kinds.
double processSeconds() {
    struct rusage usage {};
    getrusage(RUSAGE_SELF, &usage);
    const auto seconds = [](const timeval& time) {
        return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / kMicrosOfSecond;
    };
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

double threadSeconds() {
    struct timespec time {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / 1e9;
}

std::string keyOf(int number) {
    std::string digits = std::to_string(number);
    return "p0007-0123456789abcdef0123-" + std::string(8 - digits.size(), '0') + digits;
}

void waitForSync(RingStore& store, WaitingScheduler& scheduler) {
    bool answered = false;
    store.sync([&answered](bool durable) {
        if (!durable) throw std::runtime_error("the disk failed");
        answered = true;
    });
    while (!answered) scheduler.runOne();
}

// A message's put and, kKeysInUse messages later, its removal; a sync for each kPutsOfSync.
void measurePuts(RingStore& store, WaitingScheduler& scheduler) {
    const std::string value(kValueBytes, 'v');
    const double process_start = processSeconds();
    const double thread_start = threadSeconds();
    for (int i = 0; i < kPuts; ++i) {
        if (!store.put(keyOf(i), value)) throw std::runtime_error("the ring is full");
        if (i >= kKeysInUse) store.erase(keyOf(i - kKeysInUse));
        if (i % kPutsOfSync == kPutsOfSync - 1) waitForSync(store, scheduler);
    }
    const double process = processSeconds() - process_start;
    const double thread = threadSeconds() - thread_start;
    std::printf("put and erase, a sync for %d: %.2f us of the process, %.2f us of the store's thread\n",
                kPutsOfSync, process * kMicrosOfSecond / kPuts, thread * kMicrosOfSecond / kPuts);
    std::printf("segments begun %llu, rewritten %llu records\n",
                static_cast<unsigned long long>(store.statistics().segments_started),
                static_cast<unsigned long long>(store.statistics().records_rewritten));
}

void measureReads(const RingStore& store) {
    const double start = threadSeconds();
    std::size_t bytes = 0;
    for (int i = kPuts - kKeysInUse; i < kPuts; ++i) bytes += store.read(keyOf(i)).value().size();
    std::printf("read of %zu bytes from disk: %.2f us\n", bytes / kKeysInUse,
                (threadSeconds() - start) * kMicrosOfSecond / kKeysInUse);
}

void measureOpening(const std::string& folder, const RingOptions& options) {
    WaitingScheduler scheduler;
    const double start = threadSeconds();
    const RingStore store(scheduler, folder, options);
    std::printf("opening with %llu live bytes: %.1f ms\n",
                static_cast<unsigned long long>(store.usage().live_bytes), (threadSeconds() - start) * 1000);
}

void measureIndex(const std::string& folder, const RingOptions& options) {
    WaitingScheduler scheduler;
    RingStore store(scheduler, folder, options);
    const std::size_t before = mallinfo2().uordblks;
    for (int i = 0; i < kIndexKeys; ++i) {
        if (!store.put(keyOf(i), "small value")) throw std::runtime_error("the ring is full");
        if (i % 1000 == 0) waitForSync(store, scheduler);
    }
    waitForSync(store, scheduler);
    const std::size_t used = mallinfo2().uordblks - before;
    std::printf("memory of a key of %zu bytes: %.0f bytes\n", keyOf(0).size(),
                static_cast<double>(used) / kIndexKeys);
}

void measure(const std::string& folder) {
    RingOptions options;
    options.capacity_bytes = 128 * 1024 * 1024;
    {
        WaitingScheduler scheduler;
        RingStore store(scheduler, folder, options);
        measurePuts(store, scheduler);
        measureReads(store);
    }
    measureOpening(folder, options);
    std::filesystem::remove_all(folder);
    measureIndex(folder, options);
    std::filesystem::remove_all(folder);
}

}  // namespace
}  // namespace amberswitch::cluster

int main(int argc, char** argv) {
    const std::string parent = argc > 1 ? argv[1] : std::filesystem::temp_directory_path().string();
    amberswitch::cluster::measure(parent + "/ring_bench");
    return 0;
}
