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
class Front::Submission : public ClientEnd, public std::enable_shared_from_this<Submission> {
public:
    Submission(Front& owner, Handle name, std::size_t kind)
        : handle(std::move(name)), klass(kind), owner_(owner) {}

    const Handle handle;
    const std::size_t klass;
    std::string uniqueKey;
    bool background = false, running = false, created = false, over = false;
    int priority = normal;
    TransactionId transaction = 0;
    double share = 0;
    std::vector<std::weak_ptr<Connection>> listeners;
    std::optional<Nanos> refusedAtOnce;  // before the client was told of the job's creation

    void served(Time now, std::string result) override;
    void unavailable(Time now, Nanos retryIn) override;
    void failed(Time now, std::string_view why) override;
    void started(Time) override { running = true; }
    void progress(Time now, double done) override;
    void partial(Time now, Partial kind, std::string_view bytes) override;
    void listenerLeft(Time now);
    bool hasLeft() override;

private:
    template <class Say>
    void tell(Say&& say);
    void close();

    Front& owner_;
};

}  // namespace amberswitch::gearman
