#include "gearman/job.hpp"

#include <algorithm>

#include "gearman/connection.hpp"
#include "gearman/text.hpp"

namespace amberswitch::gearman {

template <class Notify>
void Front::Job::notifyClients(Notify&& notify) {
    for (const auto& client : waitingClients)
        if (const auto connection = client.lock()) notify(*connection);
}

void Front::Job::close() {
    finished = true;
    const auto self = shared_from_this();
    notifyClients([&](Connection& connection) { connection.jobFinished(this); });
    front_.jobs_.erase(handle);
    if (const auto at = front_.jobsByUniqueId_.find(uniqueKey);
        at != front_.jobsByUniqueId_.end() && at->second == self)
        front_.jobsByUniqueId_.erase(at);
}

void Front::Job::served(Time, std::string result) {
    notifyClients([&](Connection& connection) { connection.send(Type::workComplete, {handle, result}); });
    close();
}

void Front::Job::unavailable(Time, Nanos retryIn) {
    if (!created) rejectedWithRetry = retryIn;
    // The protocol has no word for it: a warning carries the advice, and a failure ends the job.
    notifyClients([&](Connection& connection) {
        connection.send(Type::workWarning, {handle, retryAfterText(retryIn)});
        connection.send(Type::workFail, {handle});
    });
    close();
}

void Front::Job::failed(Time, std::string_view why) {
    notifyClients([&](Connection& connection) {
        if (connection.exceptions && !why.empty()) connection.send(Type::workException, {handle, why});
        connection.send(Type::workFail, {handle});
    });
    close();
}

void Front::Job::progress(Time, double done) {
    running = true, fractionDone = std::clamp(done, 0.0, 1.0);
    const std::string percent = std::to_string(static_cast<int>(fractionDone * 100));
    notifyClients([&](Connection& connection) {
        connection.send(Type::workStatus, {handle, percent, "100"});
    });
}

void Front::Job::partial(Time, Partial kind, std::string_view bytes) {
    notifyClients([&](Connection& connection) {
        connection.send(kind == Partial::warning ? Type::workWarning : Type::workData, {handle, bytes});
    });
}

// Guards against work that nobody waits for: when the last client of a foreground job has left, the
// transaction is cancelled, and the module cancels its passes. A background job runs on.
void Front::Job::clientDisconnected(Time now) {
    std::erase_if(waitingClients, [](const auto& client) { return client.expired(); });
    if (finished || background || !waitingClients.empty()) return;
    const auto self = shared_from_this();
    close();
    if (transaction) front_.core_.clientLeft(now, transaction);
}

// Whoever waits for it is told of its creation first: until then there is one, and it was heard just now.
bool Front::Job::hasLeft() {
    return created && !background && !waitingClients.empty() &&
           std::all_of(waitingClients.begin(), waitingClients.end(), [](const auto& client) {
               const auto connection = client.lock();
               return !connection || connection->peerGone();
           });
}

}  // namespace amberswitch::gearman
