// What a connection answers as a job server to a client: jobs submitted and the status of a job.
#include <algorithm>
#include <chrono>

#include "gearman/connection.hpp"
#include "gearman/text.hpp"

namespace amberswitch::gearman {

void Front::Connection::submitJob(Time now, const Packet& packet, bool background, int priority) {
    const auto klass = front_.classOf(packet.arguments[0]);
    if (!klass) return refuse(now, "ERR_UNKNOWN_FUNCTION", "no class of job has this name");
    ++front_.counters_.submitted;
    if (front_.draining_) return sendError("ERR_UNAVAILABLE", retryAfterText(std::chrono::milliseconds(100)));
    const std::string& uniqueId = packet.arguments[1];
    const std::string effectiveId =
        uniqueId == "-" ? packet.arguments[2] : uniqueId;  // '-': the data is the id
    std::string key = packet.arguments[0] + '\0' + effectiveId;
    if (!effectiveId.empty())
        if (const auto at = front_.jobsByUniqueId_.find(key);
            at != front_.jobsByUniqueId_.end()) {  // it joins the same job
            const auto joined = at->second;
            ++front_.counters_.joined;
            send(Type::jobCreated, {joined->handle});
            joined->background = joined->background || background;
            if (background) return;
            if (std::find(foregroundJobs_.begin(), foregroundJobs_.end(), joined) == foregroundJobs_.end()) {
                joined->waitingClients.push_back(weak_from_this());
                foregroundJobs_.push_back(joined);
            }
            return;
        }
    // Guards against clients that submit without end on one connection: each job may hold 64 KiB.
    if (front_.jobs_.size() >= front_.config_.maxJobs)
        return sendError("ERR_UNAVAILABLE", retryAfterText(std::chrono::milliseconds(100)));
    const std::size_t limit = front_.maxQueue_[*klass];
    if (limit > 0 && static_cast<std::size_t>(std::count_if(
                         front_.jobs_.begin(), front_.jobs_.end(),
                         [&](const auto& entry) { return entry.second->klass == *klass; })) >= limit)
        return sendError("ERR_UNAVAILABLE", retryAfterText(std::chrono::milliseconds(100)));

    const auto job = std::make_shared<Job>(
        front_, "H:" + front_.config_.name + ':' + std::to_string(++front_.lastHandle_), *klass);
    job->background = background, job->priority = priority;
    const auto& function = front_.config_.functions[*klass];
    Arrival arrival;
    arrival.request.klass = static_cast<std::uint32_t>(*klass);
    arrival.request.timeLeft = background ? function.backgroundDeadline : function.deadline;
    arrival.request.slots = function.slots;
    const auto tenant = front_.config_.tenants.find(id);
    arrival.request.tenant = tenant == front_.config_.tenants.end() ? front_.config_.tenant : tenant->second;
    arrival.job.className = packet.arguments[0];
    arrival.job.traceId = job->handle;
    arrival.job.key = uniqueId == "-" ? "" : uniqueId;
    arrival.job.body = packet.arguments[2];
    arrival.priority = priority;
    arrival.client = job;
    front_.jobs_[job->handle] = job;
    if (!effectiveId.empty()) job->uniqueKey = key, front_.jobsByUniqueId_[std::move(key)] = job;
    job->transaction = front_.core_.arrive(now, std::move(arrival));
    if (job->rejectedWithRetry) return sendError("ERR_UNAVAILABLE", retryAfterText(*job->rejectedWithRetry));
    send(Type::jobCreated, {job->handle});
    job->created = true;
    if (job->finished) {
        if (!background) send(Type::workFail, {job->handle});
        return;
    }
    if (background) return;
    job->waitingClients.push_back(weak_from_this());
    foregroundJobs_.push_back(job);
}

void Front::Connection::sendStatus(Type type, std::string_view identifier, const Job* job) {
    const char* const known = job ? "1" : "0";
    const char* const running = job && job->running ? "1" : "0";
    const std::string done = std::to_string(job ? static_cast<int>(job->fractionDone * 100) : 0);
    const char* const total = job && job->running ? "100" : "0";
    if (type == Type::statusRes) return send(type, {identifier, known, running, done, total});
    const std::string waiting = std::to_string(job ? job->waitingClients.size() : 0);
    send(type, {identifier, known, running, done, total, waiting});
}

}  // namespace amberswitch::gearman
