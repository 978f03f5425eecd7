// The protocol state machine of one connection. It handles bytes and doesn't know sockets; a driver reads and
// writes for it.
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
    virtual void wake() = 0;  // there is output, or space for input again, or the machine has finished
    virtual void drop() = 0;  // closes immediately; the machine is not called any more
    virtual bool unread() const { return false; }  // received bytes are not passed to the machine yet
    // Whether the peer has closed or reset the connection, even if that has not been read yet.
    virtual bool peerGone() { return false; }
};

class Machine;

// Opens connections for code that knows addresses but no sockets.
class Connector {
public:
    virtual ~Connector() = default;
    virtual void connect(Time now, std::shared_ptr<Machine> machine, const std::string& address) = 0;
};

class Machine {
public:
    virtual ~Machine() = default;

    virtual void opened(Time) {}                // an outgoing connection is established
    virtual void received(Time now) = 0;        // bytes were added to in()
    virtual void sent(Time) {}                  // bytes were taken from out()
    virtual void ended(Time now, End how) = 0;  // the connection has ended; the last call
    virtual bool finished() const = 0;          // the driver closes once out() is empty

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
