// Gearman's administrative commands: lines of text on the same port, and the tables they print.
#include <unistd.h>

#include <algorithm>

#include "gearman/connection.hpp"
#include "gearman/text.hpp"

namespace amberswitch::gearman {

void Front::Connection::handleAdminCommand(Time now, const std::string& text) {
    std::vector<std::string> words;
    for (std::size_t at = 0; at < text.size();) {
        const std::size_t end = std::min(text.find(' ', at), text.size());
        if (end > at) words.push_back(text.substr(at, end - at));
        at = end + 1;
    }
    const auto reply = [this](std::string_view answer) { out().put(answer), wake(); };
    const std::string first = words.empty() ? "" : words[0], second = words.size() > 1 ? words[1] : "";
    if (first == "status") return reply(front_.tableOfFunctions());
    if (first == "workers") return reply(front_.tableOfWorkers());
    if (first == "prioritystatus") return reply(front_.tableOfPriorities());
    if (first == "version") return reply("OK amberswitch 0.2.0\n");
    if (first == "getpid") return reply("OK " + std::to_string(::getpid()) + "\n");
    if (first == "verbose") return reply("OK INFO\n");
    if (first == "show" && second == "jobs") return reply(front_.tableOfJobs());
    if (first == "show" && second == "unique") {
        std::string table;
        for (const auto& [key, job] : front_.jobsByUniqueId_) table += key.substr(key.find('\0') + 1) + '\n';
        return reply(table + ".\n");
    }
    if (first == "cancel" && second == "job" && words.size() == 3) {
        const auto at = front_.jobs_.find(words[2]);
        if (at == front_.jobs_.end() || at->second->running)
            return reply("ERR UNKNOWN_JOB no+such+job+waits\n");
        const auto job = at->second;
        const TransactionId transaction = job->transaction;
        job->failed(now, "cancelled");
        front_.core_.clientLeft(now, transaction);
        return reply("OK\n");
    }
    if (first == "maxqueue" && words.size() >= 2) {
        const auto klass = front_.classOf(words[1]);
        if (!klass) return reply("ERR UNKNOWN_FUNCTION no+such+function\n");
        front_.maxQueue_[*klass] = words.size() > 2 && words[2][0] != '-' ? parseUnsigned(words[2]) : 0;
        return reply("OK\n");
    }
    if ((first == "create" || first == "drop") && second == "function" && words.size() == 3) {
        const bool known = front_.classOf(words[2]).has_value();
        if (first == "create")
            return reply(known ? "OK\n" : "ERR UNKNOWN_FUNCTION functions+are+the+classes+of+the+settings\n");
        return reply(known ? "ERR FUNCTION_IN_USE functions+are+the+classes+of+the+settings\n" : "OK\n");
    }
    if (first == "shutdown") {
        reply("OK\n");
        if (front_.shutdown_) front_.shutdown_(now);
        return;
    }
    reply("ERR UNKNOWN_COMMAND Unknown+server+command\n");
}

std::string Front::tableOfFunctions() const {
    std::string table;
    for (std::size_t klass = 0; klass < core_.site().classes.size(); ++klass) {
        std::size_t total = 0, running = 0, able = 0;
        for (const auto& [handle, job] : jobs_)
            if (job->klass == klass) ++total, running += job->running;
        for (const auto& [server, worker] : workers_) able += worker->functions().contains(klass);
        table += core_.site().classes[klass] + '\t' + std::to_string(total) + '\t' + std::to_string(running) +
                 '\t' + std::to_string(able) + '\n';
    }
    return table + ".\n";
}

std::string Front::tableOfPriorities() const {
    std::string table;
    for (std::size_t klass = 0; klass < core_.site().classes.size(); ++klass) {
        std::size_t waiting[3] = {}, able = 0;
        for (const auto& [handle, job] : jobs_)
            if (job->klass == klass && !job->running) ++waiting[job->priority];
        for (const auto& [server, worker] : workers_) able += worker->functions().contains(klass);
        table += core_.site().classes[klass];
        for (const std::size_t count : waiting) table += '\t' + std::to_string(count);
        table += '\t' + std::to_string(able) + '\n';
    }
    return table + ".\n";
}

// The core knows no addresses: a dash stands in their place.
std::string Front::tableOfWorkers() const {
    std::string table;
    for (const auto& connection : connections_) {
        table += std::to_string(connection->number) + " - " + connection->id + " :";
        for (const std::size_t klass : connection->functions()) table += ' ' + core_.site().classes[klass];
        table += '\n';
    }
    return table + ".\n";
}

std::string Front::tableOfJobs() const {
    std::string table;
    for (const auto& [handle, job] : jobs_) table += handle + "\t0\t0\t" + (job->running ? "1" : "0") + '\n';
    return table + ".\n";
}

}  // namespace amberswitch::gearman
