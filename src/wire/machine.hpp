// A protocol's side of one connection: a state machine that is fed bytes and knows no socket. A driver reads
// and writes for it.
#pragma once

#include <memory>
#include <string>
#include <utility>

#include "core/deadlines.hpp"
#include "core/end.hpp"
#include "wire/ring.hpp"

namespace amberswitch::wire {

class Driver {
public:
    virtual ~Driver() = default;
    virtual void wake() = 0;  // there is something to write, or room to read again, or it has finished
    virtual void drop() = 0;  // close at once; the machine hears nothing more
    virtual bool unread() const { return false; }  // bytes have come that the machine was not given yet
    // The other side has closed its end, or broken the connection, whether or not that was read yet.
    virtual bool peerGone() { return false; }
};

class Machine;

// Makes connections for those who know addresses but no sockets.
class Connector {
public:
    virtual ~Connector() = default;
    virtual void connect(Time now, std::shared_ptr<Machine> machine, const std::string& address) = 0;
};

class Machine {
public:
    virtual ~Machine() = default;

    virtual void opened(Time) {}                // a connection this side asked for is up
    virtual void received(Time now) = 0;        // bytes were added to in()
    virtual void sent(Time) {}                  // bytes were taken from out()
    virtual void ended(Time now, End how) = 0;  // the connection is gone; the last call
    virtual bool finished() const = 0;          // to be closed once out() is empty

    Ring& in() { return in_; }
    Outbox& out() { return out_; }
    const Outbox& out() const { return out_; }
    void attach(Driver* driver) { driver_ = driver; }
    bool attached() const { return driver_ != nullptr; }
    bool unread() const { return !in_.empty() || (driver_ && driver_->unread()); }
    bool peerGone() const { return driver_ && driver_->peerGone(); }

protected:
    void wake() {
        if (driver_) driver_->wake();
    }
    void drop() {
        if (Driver* const driver = std::exchange(driver_, nullptr)) driver->drop();
    }

private:
    Ring in_;
    Outbox out_;
    Driver* driver_ = nullptr;
};

}  // namespace amberswitch::wire
