#include "wire.hpp"

#include <simdjson.h>

#include <charconv>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "heronmount/dispatcher.hpp"
#include "settings/read.hpp"

namespace heronmount::wire {
namespace {

using namespace amberswitch::settings;

std::uint64_t requestId(const object& from) {
    const auto id = integer(from, "tid");
    if (id < 0 || id >= (std::int64_t{1} << 52)) bad("field 'tid' is out of range");
    return static_cast<std::uint64_t>(id);
}

LoadReport readLoad(const object& from) {
    LoadReport load;
    const auto report = find(from, "serverStats");
    if (!report) return load;
    const auto put = [&load](std::string_view name, const element& value) {
        double LoadReport::*const field = name == "rif"         ? &LoadReport::inFlight
                                          : name == "q"         ? &LoadReport::queued
                                          : name == "busy"      ? &LoadReport::busy
                                          : name == "lat_ms"    ? &LoadReport::latencyMs
                                          : name == "rate"      ? &LoadReport::rate
                                          : name == "fail_rate" ? &LoadReport::failRate
                                          : name == "x0"        ? &LoadReport::freeSlots
                                          : name == "x1"        ? &LoadReport::freeMemory
                                                                : nullptr;
        if (field && !value.is_null()) load.*field = as<double>(value, "serverStats", "made of numbers");
    };
    for (const auto [name, value] : as<object>(*report, "serverStats", "an object")) put(name, value);
    return load;
}

// A Dispatcher and the names that the protocol uses for its workers.
struct Instance {
    Dispatcher dispatcher;
    std::size_t classes, tenants;
    std::unordered_map<std::string, Worker> handles;
    std::vector<std::string> names;           // by handle
    std::unordered_set<std::uint64_t> known;  // ids of the requests that arrived at this instance

    // The handle of a worker, a new one if the name is new.
    Worker handle(std::string_view name) {
        const auto [at, fresh] = handles.try_emplace(std::string(name), static_cast<Worker>(names.size()));
        if (fresh) names.push_back(at->first);
        return at->second;
    }
    // Throws BadLine if no roster has named the worker.
    Worker knownWorker(std::string_view name) const {
        const auto at = handles.find(std::string(name));
        if (at == handles.end()) bad("unknown worker '" + std::string(name) + "'");
        return at->second;
    }
    // Returns the id. Throws BadLine if no such request has arrived.
    std::uint64_t knownRequest(std::uint64_t id) const {
        if (!known.contains(id)) bad("unknown request " + std::to_string(id));
        return id;
    }
};

RosterUpdate readRoster(const object& from, Instance& instance) {
    RosterUpdate update;
    integer(from, "generation", 0);
    update.mode = choice<RosterMode>(text(from, "mode"), "mode",
                                     {{"incr", RosterMode::incremental},
                                      {"total", RosterMode::full},
                                      {"warm_copy", RosterMode::stale},
                                      {"lost", RosterMode::lost}});
    if (update.mode == RosterMode::lost) return update;
    for (const element entry : list(from, "records")) {
        const object record = asObject(entry, "records");
        RosterEntry e;
        const std::string_view name = text(record, "worker");
        e.worker = instance.handle(name);
        e.id = fingerprint(name);
        e.zone = static_cast<int>(integer(record, "site", 0));
        e.kind = static_cast<int>(integer(record, "machine", 0));
        e.cell = static_cast<int>(integer(record, "cluster", 0));
        e.status = choice<WorkerStatus>(
            text(record, "stageState"), "stageState",
            {{"on", WorkerStatus::on}, {"fading", WorkerStatus::draining}, {"off", WorkerStatus::off}});
        e.weight = number(record, "units", 1);
        e.startedAt = Time(integer(record, "onlineSince", 0));
        update.entries.push_back(e);
    }
    return update;
}

RequestArrived readRequest(const object& from, Instance& instance) {
    RequestArrived r;
    r.id = requestId(from);
    const auto klass = integer(from, "category");
    if (klass < 0 || static_cast<std::size_t>(klass) >= instance.classes)
        bad("unknown class " + std::to_string(klass));
    r.klass = static_cast<std::uint32_t>(klass);
    const auto tenant = integer(from, "team", -1);
    if (instance.tenants > 0 && tenant >= static_cast<std::int64_t>(instance.tenants))
        bad("unknown tenant " + std::to_string(tenant));
    r.tenant = instance.tenants > 0 ? static_cast<int>(tenant) : -1;
    r.timeLeft = Nanos(integer(from, "timeLeft"));
    r.slots = number(from, "needs", 1);
    r.memory = number(from, "ramUnits", 0);
    const auto options = integer(from, "options", 0);
    if (options & 1) r.durationHint = Nanos(integer(from, "hint", 0));
    r.isClientRetry = options & 2;
    if (const auto key = find(from, "nameKey")) {
        r.hasAffinityKey = true;
        r.affinityKey = as<std::uint64_t>(*key, "nameKey", "a whole number");
    }
    instance.known.insert(r.id);
    return r;
}

std::uint32_t readAttempt(const object& from) {
    const auto attempt = integer(from, "go");
    if (attempt < 0) bad("field 'go' is out of range");
    return static_cast<std::uint32_t>(attempt);
}

AttemptEnded readOutcome(const object& from, Instance& instance) {
    AttemptEnded ended;
    ended.id = instance.knownRequest(requestId(from));
    ended.attempt = readAttempt(from);
    instance.knownWorker(text(from, "worker"));
    ended.outcome = choice<Outcome>(text(from, "outcome"), "outcome",
                                    {{"ok", Outcome::ok},
                                     {"error", Outcome::error},
                                     {"full", Outcome::full},
                                     {"timeout", Outcome::timeout},
                                     {"connect_failed", Outcome::connectFailed},
                                     {"reset", Outcome::reset},
                                     {"cancelled", Outcome::cancelled},
                                     {"moot", Outcome::notExecuted}});
    ended.duration = Nanos(integer(from, "duration", 0));
    ended.requestFinished = flag(from, "settled", false);
    ended.load = readLoad(from);
    return ended;
}

// Appends actions to `out` as lines, each with the name of the instance.
struct Writer {
    std::string& out;
    std::string_view name;
    const std::vector<std::string>& workers;

    void head(std::string_view kind) const {
        out += "{\"kind\":\"";
        out += kind;
        out += "\",\"schedulerId\":\"";
        out += name;
        out += '"';
    }
    void field(std::string_view key, std::int64_t value) const {
        char digits[24];
        const auto end = std::to_chars(digits, digits + sizeof digits, value).ptr;
        out += ",\"";
        out += key;
        out += "\":";
        out.append(digits, end);
    }
    void field(std::string_view key, std::string_view value) const {
        out += ",\"";
        out += key;
        out += "\":\"";
        for (const char c : value) {
            if (c == '"' || c == '\\') out += '\\';
            out += static_cast<unsigned char>(c) < 0x20 ? ' ' : c;
        }
        out += '"';
    }
    void end() const { out += "}\n"; }
    static std::int64_t id(RequestId value) { return static_cast<std::int64_t>(value); }

    void operator()(const Send& a) const {
        head("dispatch");
        field("tid", id(a.id));
        field("worker", workers[a.worker]);
        if (a.deadline.count() > 0) field("stopAt", a.deadline.count());
        end();
    }
    void operator()(const Cancel& a) const {
        head("undoSend");
        field("tid", id(a.id));
        field("go", a.attempt);
        end();
    }
    void operator()(const Refuse& a) const {
        head("refuse");
        field("tid", id(a.id));
        if (a.retryAfter.count() > 0) field("retryIn", a.retryAfter.count());
        end();
    }
    void operator()(const Fail& a) const {
        head("fail");
        field("tid", id(a.id));
        end();
    }
    void operator()(const SetTimer& a) const {
        head("schedule");
        field("delay", a.delay.count());
        field("tag", static_cast<std::int64_t>(a.tag));
        end();
    }
    void operator()(const Subscribe&) const {
        head("tail");
        out += ",\"want\":true";
        end();
    }
    void operator()(const Probe& a) const {
        head("healthCheck");
        field("worker", workers[a.worker]);
        end();
    }
    void operator()(const CloseIdle& a) const {
        head("closeIdle");
        field("worker", workers[a.worker]);
        end();
    }
};

}  // namespace

struct Codec::Impl {
    simdjson::dom::parser parser;
    std::unordered_map<std::string, Instance> instances;
    std::vector<Action> actions;
    std::string reply;
    bool open = false;
    Time now{0};
    std::int64_t turn = 0;

    Instance& instanceOf(const std::string& name) {
        const auto at = instances.find(name);
        if (at == instances.end()) bad("no instance '" + name + "' was started");
        return at->second;
    }

    void start(const std::string& name, const object& from) {
        const auto seed = need<std::uint64_t>(from, "randomSeed", "a whole number");
        Settings settings = readSettings(table(from, "bootInfo"));
        const std::size_t classes = settings.classes.size(), tenants = settings.tenants.size();
        try {
            instances.erase(name);
            instances.emplace(name,
                              Instance{Dispatcher(std::move(settings), seed), classes, tenants, {}, {}, {}});
        } catch (const std::invalid_argument& invalid) {
            bad(std::string("bootInfo: ") + invalid.what());
        }
    }

    std::optional<Event> read(std::string_view kind, const object& from, Instance& instance) {
        if (kind == "fleet") return readRoster(from, instance);
        if (kind == "workItem") return readRequest(from, instance);
        if (kind == "response") return readOutcome(from, instance);
        if (kind == "tickDue") return TimerFired{need<std::uint64_t>(from, "tag", "a whole number")};
        if (kind == "clientLeft") return ClientLeft{requestId(from)};  // ignored by the dispatcher if late
        if (kind == "streaming") {
            instance.knownWorker(text(from, "worker"));
            return StreamStarted{instance.knownRequest(requestId(from)), readAttempt(from)};
        }
        if (kind == "notice") {
            instance.knownWorker(text(from, "worker"));
            const auto topic = integer(from, "topic");
            if (topic != 1 && topic != 2) return std::nullopt;
            return AttemptProgress{instance.knownRequest(requestId(from)), readAttempt(from), topic == 1,
                                   number(from, "level", 0)};
        }
        if (kind == "checked")
            return ProbeAnswered{instance.knownWorker(text(from, "worker")), text(from, "outcome") == "ok",
                                 readLoad(from)};
        if (kind == "heard") {  // instances share no data, so this is only checked
            integer(from, "author");
            text(from, "payload");
            return std::nullopt;
        }
        bad("unknown event kind '" + std::string(kind) + "'");
    }

    bool feed(std::string_view line) {
        element root;
        if (const auto error = parser.parse(line.data(), line.size()).get(root); error != simdjson::SUCCESS)
            bad(std::string("not valid JSON: ") + simdjson::error_message(error));
        const object from = asObject(root, "line");
        const std::string_view kind = text(from, "kind");
        if (kind == "sync") {
            if (open) bad("a batch opens inside a batch");
            now = Time(integer(from, "t"));
            turn = integer(from, "turn");
            open = true;
            reply.clear();
            return false;
        }
        if (!open) bad("'" + std::string(kind) + "' outside a batch");
        if (kind == "commit") {
            open = false;
            reply += "{\"kind\":\"yield\",\"turn\":" + std::to_string(turn) + "}\n";
            return true;
        }
        const std::string name(text(from, "schedulerId"));
        if (kind == "spawn") {
            start(name, from);
            return false;
        }
        Instance& instance = instanceOf(name);
        if (kind == "detach") {
            instances.erase(name);
            return false;
        }
        const std::optional<Event> event = read(kind, from, instance);
        if (!event) return false;
        actions.clear();
        try {
            instance.dispatcher.on(now, *event, actions);
        } catch (const std::exception& failure) {
            const Writer writer{reply, name, instance.names};
            writer.head("panic");
            writer.field("message", std::string_view(failure.what()));
            writer.end();
            return false;
        }
        for (const Action& action : actions) std::visit(Writer{reply, name, instance.names}, action);
        return false;
    }
};

Codec::Codec() : impl_(std::make_unique<Impl>()) {}
Codec::~Codec() = default;
bool Codec::feed(std::string_view line) {
    return impl_->feed(line);
}
const std::string& Codec::reply() const {
    return impl_->reply;
}

}  // namespace heronmount::wire
