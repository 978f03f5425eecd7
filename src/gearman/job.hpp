// A client's job from its submission until it is answered: what the core reports of it, and the clients that
// wait for it.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gearman/front.hpp"

namespace amberswitch::gearman {

enum Priority { high, normal, low };

// One job that clients submitted, and all who wait for it. Jobs of one function with one unique id are one.
class Front::Job : public ClientEnd, public std::enable_shared_from_this<Job> {
public:
    Job(Front& front, Handle jobHandle, std::size_t jobClass)
        : handle(std::move(jobHandle)), klass(jobClass), front_(front) {}

    const Handle handle;
    const std::size_t klass;
    std::string uniqueKey;
    bool background = false, running = false, created = false, finished = false;
    int priority = normal;
    TransactionId transaction = 0;
    double fractionDone = 0;
    std::vector<std::weak_ptr<Connection>> waitingClients;
    std::optional<Nanos> rejectedWithRetry;  // before the client was told of the job's creation

    void served(Time now, std::string result) override;
    void unavailable(Time now, Nanos retryIn) override;
    void failed(Time now, std::string_view why) override;
    void started(Time) override { running = true; }
    void progress(Time now, double done) override;
    void partial(Time now, Partial kind, std::string_view bytes) override;
    void clientDisconnected(Time now);
    bool hasLeft() override;

private:
    template <class Notify>
    void notifyClients(Notify&& notify);
    void close();

    Front& front_;
};

}  // namespace amberswitch::gearman
