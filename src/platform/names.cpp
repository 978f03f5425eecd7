#include "platform/names.hpp"

#include <algorithm>
#include <cctype>

namespace amberswitch::platform {

using namespace settings;
using heronmount::WorkerStatus;

namespace {

std::optional<std::size_t> placeOf(const std::vector<std::string>& names, std::string_view name) {
    const auto at = std::find(names.begin(), names.end(), name);
    if (at == names.end()) return std::nullopt;
    return static_cast<std::size_t>(at - names.begin());
}

constexpr std::uint64_t kMostWaitMs = 3'600'000;

// An id or a key that can stand in a header and in a path as it is.
bool plain(std::string_view text) {
    return !text.empty() && text.size() <= 128 && std::all_of(text.begin(), text.end(), [](char c) {
        return std::isalnum(static_cast<unsigned char>(c)) ||
               std::string_view("-._~").find(c) != std::string_view::npos;
    });
}

void put(LoadReport& load, std::string_view name, double value) {
    if (name == "x0")
        load.freeSlots = value;
    else if (name == "x1")
        load.freeMemory = value;
    else if (name == "queue" || name == "q")
        load.queued = value;
    else if (name == "inflight" || name == "rif")
        load.inFlight = value;
    else if (name == "util" || name == "busy")
        load.busy = value;
}

}  // namespace

std::optional<Arrival> readJob(const Site& site, const http::Message& message, BadJob& bad) {
    const auto fault = [&bad](int status, const char* why) {
        bad = {status, why};
        return std::nullopt;
    };
    // Guards against what an application server can't read: it would close the connection on it. Two of a
    // header that counts could be read in two ways.
    for (const char* name : {"x-trace-id", "x-qos", "x-customer", "x-expires-in-ms", "idempotency-key"})
        if (message.repeats(name)) return fault(400, "a header is repeated");
    const std::string_view path = message.path();
    const std::string_view first = path.substr(std::min<std::size_t>(1, path.size()));
    const std::string_view named = first.substr(0, first.find('/'));
    const std::string* const header = message.header("x-qos");
    const auto klass = placeOf(site.classes, header ? std::string_view(*header) : named);
    if (!klass) return fault(404, "no such class of job");
    if (path.substr(0, 1) != "/" || named != site.classes[*klass])
        return fault(400, "the path and X-Qos name different classes");
    const std::string* const trace = message.header("x-trace-id");
    if (!trace || trace->empty()) return fault(400, "X-Trace-Id is missing");
    if (!plain(*trace)) return fault(400, "X-Trace-Id is no id");
    const auto& settings = site.module.classes[*klass];
    const std::string* const key = message.header("idempotency-key");
    if (settings.idempotency == heronmount::Idempotency::keyed && (!key || !plain(*key)))
        return fault(400, "Idempotency-Key is missing or no key");

    Arrival arrival;
    auto& request = arrival.request;
    request.klass = static_cast<std::uint32_t>(*klass);
    request.timeLeft = settings.clientTimeout;
    if (const std::string* const left = message.header("x-expires-in-ms")) {
        const auto ms = http::wholeNumber(*left);
        if (!ms || *ms == 0 || *ms > kMostWaitMs) return fault(400, "X-Expires-In-Ms is no time to wait");
        request.timeLeft = std::chrono::milliseconds(*ms);
    }
    request.timeLeft = withoutWay(request.timeLeft);
    if (const std::string* const tenant = message.header("x-customer"))
        if (const auto place = placeOf(site.tenants, *tenant)) request.tenant = static_cast<int>(*place);
    if (const std::string* const hint = message.header("x-size-hint"))
        if (const auto us = http::decimalNumber(*hint); us && *us > 0 && *us < 1e10)
            request.durationHint = Nanos(static_cast<std::int64_t>(*us * 1e3));
    if (const std::string* const cookie = message.header("cookie"))
        for (const auto& [name, value] : http::pairs(*cookie, ';'))
            if (name == "sid") request.hasAffinityKey = true, request.affinityKey = fingerprint(value) >> 11;
    request.isClientRetry = message.header("x-second-try") != nullptr;
    if (const std::string* const props = message.header("x-props"))
        for (const auto& [name, value] : http::pairs(*props, ',')) {
            const auto figure = http::decimalNumber(value);
            if (!figure || *figure < 0 || *figure > 1e6) return fault(400, "X-Props holds no figure");
            if (name == "x1" || name == "slots") request.slots = *figure;
            if (name == "x2" || name == "memory") request.memory = *figure;
        }

    Job& job = arrival.job;
    job.className = site.classes[*klass];
    job.method = message.method, job.target = message.target, job.traceId = *trace;
    if (key) job.key = *key;
    if (const std::string* const type = message.header("content-type")) job.contentType = *type;
    return arrival;
}

FarmList readFarm(const Site& site, const object& from) {
    FarmList out;
    out.version = integer(from, "index");
    out.whole = flag(from, "snapshot", false);
    for (const element value : list(from, "endpoints")) {
        const object entry = asObject(value, "endpoints");
        RosterServer told;
        told.name = text(entry, "name");
        auto& e = told.entry;
        const auto place = [](const std::vector<std::string>& names, std::string_view name) {
            return static_cast<int>(placeOf(names, name).value_or(names.size()));
        };
        e.status = choice<WorkerStatus>(text(entry, "status"), "status",
                                        {{"Ready", WorkerStatus::on},
                                         {"Terminating", WorkerStatus::draining},
                                         {"Gone", WorkerStatus::off}});
        e.zone = place(site.zones, text(entry, "zone", ""));
        e.kind = place(site.kinds, text(entry, "type", ""));
        e.cell = static_cast<int>(integer(entry, "group", 0));
        e.weight = number(entry, "weight", 1);
        e.startedAt = Time(integer(entry, "since_ms", 0) * 1'000'000);  // the module's clock counts Unix time
        out.entries.push_back(std::move(told));
        out.addresses.emplace_back(text(entry, "address", ""));
    }
    return out;
}

LoadReport readLoad(const object& from) {
    LoadReport load;
    for (const auto [name, value] : from) {
        double figure = 0;
        if (value.get(figure) == simdjson::SUCCESS) put(load, name, figure);
    }
    return load;
}

LoadReport readLoad(const http::Message& message) {
    const std::string* const header = message.header("endpoint-load-metrics");
    return header ? readLoad(std::string_view(*header)) : LoadReport{};
}

LoadReport readLoad(std::string_view text) {
    LoadReport load;
    if (text.substr(0, 4) == "TEXT") text.remove_prefix(4);
    for (const auto& [name, value] : http::pairs(text, ','))
        if (const auto figure = http::decimalNumber(value)) put(load, name, *figure);
    return load;
}

}  // namespace amberswitch::platform
