// Time, network and disk of one process in an explored world.
#pragma once

#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "cluster/common/messages.hpp"
#include "cluster/common/transport.hpp"
#include "cluster/control/register_messages.hpp"
#include "cluster/storage/record_store.hpp"
#include "tests/explorer/explored_world.hpp"

namespace amberswitch::cluster::explorer {

// All that a process does ends when this becomes false.
using Alive = std::shared_ptr<bool>;

inline const char* nameOfKind(std::uint16_t kind) {
    if (kind == static_cast<std::uint16_t>(kReadVoters)) return "read voters";
    switch (static_cast<MessageKind>(kind)) {
        case MessageKind::register_prepare:
            return "prepare";
        case MessageKind::register_accept:
            return "accept";
        case MessageKind::register_chosen:
            return "chosen";
        case MessageKind::register_read_chosen:
            return "read chosen";
        case MessageKind::leader_lease:
            return "lease";
        case MessageKind::peering_progress:
            return "peering progress";
        default:
            return "message";
    }
}

class ProcessScheduler : public Scheduler {
public:
    ProcessScheduler(ExploredWorld& world, int machine, Alive alive)
        : world_(world), machine_(machine), alive_(std::move(alive)) {}

    SteadyTime now() const override { return world_.now(); }
    std::int64_t wallMillis() const override {
        return std::chrono::duration_cast<Millis>(world_.now().time_since_epoch()).count();
    }
    TimerHandle after(Millis delay, std::function<void()> work) override {
        return std::make_unique<ExploredTimer>(world_,
                                               world_.addTimer(machine_, delay, guard(std::move(work))));
    }
    void post(std::function<void()> work) override { world_.post(guard(std::move(work))); }

private:
    class ExploredTimer : public Timer {
    public:
        ExploredTimer(ExploredWorld& world, std::uint64_t id) : world_(world), id_(id) {}
        ~ExploredTimer() override { world_.cancelTimer(id_); }

    private:
        ExploredWorld& world_;
        std::uint64_t id_;
    };

    std::function<void()> guard(std::function<void()> work) const {
        return [alive = alive_, work = std::move(work)] {
            if (*alive) work();
        };
    }

    ExploredWorld& world_;
    int machine_;
    Alive alive_;
};

using DiskContent = std::map<std::string, std::string, std::less<>>;

// What is staged is lost with the process unless a sync ended, or the crash keeps it. The core's records are
// never erased, so erasing is not played.
class ExploredDisk : public RecordStore {
public:
    ExploredDisk(ExploredWorld& world, int machine, Alive alive, DiskContent& durable)
        : world_(world),
          machine_(machine),
          alive_(std::move(alive)),
          durable_(durable),
          current_(durable),
          was_empty_(durable.empty()) {}

    bool put(std::string_view key, std::string_view value) override {
        current_.insert_or_assign(std::string(key), std::string(value));
        lost_.erase(std::string(key));
        return true;
    }
    void erase(std::string_view) override { std::abort(); }
    void sync(std::function<void(bool)> done) override {
        Event event;
        event.kind = EventKind::sync;
        event.machine = machine_;
        event.what = "sync";
        event.fingerprint = mix(mix(31, static_cast<std::uint64_t>(machine_)), ++syncs_);
        event.work = [this, alive = alive_, staged = current_, done] {
            if (!*alive) return;
            write(staged);
            done(true);
        };
        event.fail = [this, alive = alive_, staged = current_, done] {
            if (!*alive) return;
            noteLost(staged);
            done(false);
        };
        world_.add(std::move(event));
    }
    std::optional<std::string> read(std::string_view key) const override {
        const auto found = current_.find(key);
        if (found == current_.end()) return std::nullopt;
        return found->second;
    }
    void forEach(const std::function<void(std::string_view, const std::string&)>& visit) const override {
        for (const auto& [key, value] : current_) visit(key, value);
    }
    StoreUsage usage() const override { return {}; }
    bool wasEmpty() const override { return was_empty_; }

    bool hasUnsynced() const { return current_ != durable_; }
    void keepUnsynced() { write(current_); }

private:
    void write(const DiskContent& staged) {
        for (const auto& [key, value] : staged) {
            if (!lost_.contains(key)) durable_.insert_or_assign(key, value);
        }
    }
    // What a failed sync did not write, no later one writes.
    void noteLost(const DiskContent& staged) {
        for (const auto& [key, value] : staged) {
            const auto found = durable_.find(key);
            if (found == durable_.end() || found->second != value) lost_.insert(key);
        }
    }

    ExploredWorld& world_;
    int machine_;
    Alive alive_;
    DiskContent& durable_;
    DiskContent current_;
    std::set<std::string> lost_;
    bool was_empty_;
    std::uint64_t syncs_ = 0;
};

class ExploredTransport;

// Who listens where.
class Listeners {
public:
    std::map<NodeAddress, ExploredTransport*> transports;
    std::map<NodeAddress, int> machines;
};

// Calls as events: a request and an answer, each lost where the other side is gone or cut off.
class ExploredTransport : public Transport {
public:
    ExploredTransport(ExploredWorld& world, Listeners& listeners, int machine, std::uint64_t process,
                      NodeAddress self, Alive alive)
        : world_(world),
          listeners_(listeners),
          machine_(machine),
          process_(process),
          self_(std::move(self)),
          alive_(std::move(alive)) {
        listeners_.transports[self_] = this;
    }
    ~ExploredTransport() override {
        const auto found = listeners_.transports.find(self_);
        if (found != listeners_.transports.end() && found->second == this) listeners_.transports.erase(found);
    }

    void serve(RequestHandler handler) override { handler_ = std::move(handler); }

    void call(const NodeAddress& to, Envelope request, Millis timeout,
              std::function<void(CallResult)> done) override {
        const auto open = std::make_shared<OpenCall>();
        open->alive = alive_;
        open->done = std::move(done);
        open->timer = world_.addTimer(machine_, timeout, [open] { open->finish({CallStatus::unknown, {}}); });
        Event event;
        event.kind = EventKind::request;
        event.from = machine_;
        event.machine = listeners_.machines.at(to);
        event.what = nameOfKind(request.kind);
        event.fingerprint = mix(mix(mix(mix(41, request.body), process_), ++calls_), request.kind);
        const auto sent = std::make_shared<const Envelope>(std::move(request));
        event.work = [this, alive = alive_, to, sent, open, fingerprint = event.fingerprint] {
            if (*alive) arrive(to, *sent, open, fingerprint);
        };
        world_.add(std::move(event));
    }

private:
    struct OpenCall {
        Alive alive;
        std::function<void(CallResult)> done;
        std::uint64_t timer = 0;
        void finish(CallResult result) {
            if (!done || !*alive) return;
            const auto callback = std::exchange(done, nullptr);
            callback(std::move(result));
        }
    };

    void arrive(const NodeAddress& to, const Envelope& request, const std::shared_ptr<OpenCall>& open,
                std::uint64_t fingerprint) {
        const auto peer = listeners_.transports.find(to);
        const int callee = listeners_.machines.at(to);
        if (peer == listeners_.transports.end())
            return answer(callee, "refusal", open, {CallStatus::not_executed, {}}, fingerprint);
        const Alive callee_alive = peer->second->alive_;
        const char* const what = nameOfKind(request.kind);
        peer->second->handler_(
            request, [this, caller = alive_, callee_alive, callee, what, open, fingerprint](Envelope reply) {
                if (!*caller || !*callee_alive) return;
                answer(callee, what, open, {CallStatus::answered, std::move(reply)}, fingerprint);
            });
    }
    void answer(int callee, const char* what, const std::shared_ptr<OpenCall>& open, CallResult result,
                std::uint64_t fingerprint) {
        Event event;
        event.kind = EventKind::reply;
        event.from = callee;
        event.machine = machine_;
        event.what = what;
        event.fingerprint = mix(mix(fingerprint, result.reply.body), 43);
        event.work = [this, alive = alive_, open, result = std::move(result)] {
            if (!*alive || !open->done) return;
            world_.cancelTimer(open->timer);
            open->finish(result);
        };
        world_.add(std::move(event));
    }

    ExploredWorld& world_;
    Listeners& listeners_;
    int machine_;
    std::uint64_t process_;
    NodeAddress self_;
    Alive alive_;
    RequestHandler handler_;
    std::uint64_t calls_ = 0;
};

}  // namespace amberswitch::cluster::explorer
