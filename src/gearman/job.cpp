#include "gearman/job.hpp"

#include <algorithm>

#include "gearman/connection.hpp"
#include "gearman/text.hpp"

namespace amberswitch::gearman {

template <class Say>
void Front::Submission::tell(Say&& say) {
    for (const auto& listener : listeners)
        if (const auto connection = listener.lock()) say(*connection);
}

void Front::Submission::close() {
    over = true;
    const auto self = shared_from_this();
    tell([&](Connection& c) { c.answered(this); });
    owner_.submissions_.erase(handle);
    if (const auto at = owner_.unique_.find(uniqueKey); at != owner_.unique_.end() && at->second == self)
        owner_.unique_.erase(at);
}

void Front::Submission::served(Time, std::string result) {
    tell([&](Connection& c) { c.say(Type::workComplete, {handle, result}); });
    close();
}

void Front::Submission::unavailable(Time, Nanos retryIn) {
    if (!created) refusedAtOnce = retryIn;
    // The protocol has no word for it: a warning carries the advice, and a failure ends the job.
    tell([&](Connection& c) {
        c.say(Type::workWarning, {handle, advice(retryIn)});
        c.say(Type::workFail, {handle});
    });
    close();
}

void Front::Submission::failed(Time, std::string_view why) {
    tell([&](Connection& c) {
        if (c.exceptions && !why.empty()) c.say(Type::workException, {handle, why});
        c.say(Type::workFail, {handle});
    });
    close();
}

void Front::Submission::progress(Time, double done) {
    running = true, share = std::clamp(done, 0.0, 1.0);
    const std::string percent = std::to_string(static_cast<int>(share * 100));
    tell([&](Connection& c) { c.say(Type::workStatus, {handle, percent, "100"}); });
}

void Front::Submission::partial(Time, Partial kind, std::string_view bytes) {
    tell([&](Connection& c) {
        c.say(kind == Partial::warning ? Type::workWarning : Type::workData, {handle, bytes});
    });
}

// Guards against work that nobody waits for: when the last client of a foreground job has left, the
// transaction is given up, and the module calls its passes off. A background job runs on.
void Front::Submission::listenerLeft(Time now) {
    std::erase_if(listeners, [](const auto& listener) { return listener.expired(); });
    if (over || background || !listeners.empty()) return;
    const auto self = shared_from_this();
    close();
    if (transaction) owner_.core_.clientLeft(now, transaction);
}

// Whoever waits for it is told of its creation first: until then there is one, and it was heard just now.
bool Front::Submission::hasLeft() {
    return created && !background && !listeners.empty() &&
           std::all_of(listeners.begin(), listeners.end(), [](const auto& listener) {
               const auto one = listener.lock();
               return !one || one->peerGone();
           });
}

}  // namespace amberswitch::gearman
