// What a connection answers as a job server to a client: jobs submitted and the status of a job.
#include <algorithm>
#include <chrono>

#include "gearman/connection.hpp"
#include "gearman/text.hpp"

namespace amberswitch::gearman {

void Front::Connection::submit(Time now, const Packet& p, bool background, int priority) {
    const auto klass = owner_.classOf(p.arguments[0]);
    if (!klass) return refuse(now, "ERR_UNKNOWN_FUNCTION", "no class of job has this name");
    ++owner_.counters_.submitted;
    if (owner_.draining_) return error("ERR_UNAVAILABLE", advice(std::chrono::milliseconds(100)));
    const std::string& given = p.arguments[1];
    const std::string unique = given == "-" ? p.arguments[2] : given;  // '-': the data is the id
    std::string key = p.arguments[0] + '\0' + unique;
    if (!unique.empty())
        if (const auto at = owner_.unique_.find(key); at != owner_.unique_.end()) {  // it joins the same job
            const auto joined = at->second;
            ++owner_.counters_.joined;
            say(Type::jobCreated, {joined->handle});
            joined->background = joined->background || background;
            if (background) return;
            if (std::find(mine_.begin(), mine_.end(), joined) == mine_.end()) {
                joined->listeners.push_back(weak_from_this());
                mine_.push_back(joined);
            }
            return;
        }
    // Guards against clients that submit without end on one connection: each job may hold 64 KiB.
    if (owner_.submissions_.size() >= owner_.config_.mostJobs)
        return error("ERR_UNAVAILABLE", advice(std::chrono::milliseconds(100)));
    const std::size_t most = owner_.most_[*klass];
    if (most > 0 && static_cast<std::size_t>(
                        std::count_if(owner_.submissions_.begin(), owner_.submissions_.end(),
                                      [&](const auto& one) { return one.second->klass == *klass; })) >= most)
        return error("ERR_UNAVAILABLE", advice(std::chrono::milliseconds(100)));

    const auto submission = std::make_shared<Submission>(
        owner_, "H:" + owner_.config_.name + ':' + std::to_string(++owner_.lastHandle_), *klass);
    submission->background = background, submission->priority = priority;
    const auto& function = owner_.config_.functions[*klass];
    Arrival arrival;
    arrival.request.klass = static_cast<std::uint32_t>(*klass);
    arrival.request.timeLeft = background ? function.backgroundDeadline : function.deadline;
    arrival.request.slots = function.slots;
    const auto tenant = owner_.config_.tenants.find(id);
    arrival.request.tenant = tenant == owner_.config_.tenants.end() ? owner_.config_.tenant : tenant->second;
    arrival.job.className = p.arguments[0];
    arrival.job.traceId = submission->handle;
    arrival.job.key = given == "-" ? "" : given;
    arrival.job.body = p.arguments[2];
    arrival.priority = priority;
    arrival.client = submission;
    owner_.submissions_[submission->handle] = submission;
    if (!unique.empty()) submission->uniqueKey = key, owner_.unique_[std::move(key)] = submission;
    submission->transaction = owner_.core_.arrive(now, std::move(arrival));
    if (submission->refusedAtOnce) return error("ERR_UNAVAILABLE", advice(*submission->refusedAtOnce));
    say(Type::jobCreated, {submission->handle});
    submission->created = true;
    if (submission->over) {
        if (!background) say(Type::workFail, {submission->handle});
        return;
    }
    if (background) return;
    submission->listeners.push_back(weak_from_this());
    mine_.push_back(submission);
}

void Front::Connection::status(Type type, std::string_view by, const Submission* submission) {
    const char* const known = submission ? "1" : "0";
    const char* const running = submission && submission->running ? "1" : "0";
    const std::string done = std::to_string(submission ? static_cast<int>(submission->share * 100) : 0);
    const char* const of = submission && submission->running ? "100" : "0";
    if (type == Type::statusRes) return say(type, {by, known, running, done, of});
    const std::string waiting = std::to_string(submission ? submission->listeners.size() : 0);
    say(type, {by, known, running, done, of, waiting});
}

}  // namespace amberswitch::gearman
