// A connection between two processes, with what can go wrong on the way. It stands between the socket and
// the machine that speaks: it is a machine to the one and a driver to the other, and knows neither.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <set>

#include "wire/machine.hpp"

namespace amberswitch::lab {

class Relay;

// The way between one dispatcher and one other side, in both directions.
struct Path {
    Nanos delay{0};
    double bytesPerSecond = 0;   // 0: as fast as it goes
    std::size_t split = 0;       // most bytes handed on at once; 0: as they come
    std::size_t resetAfter = 0;  // a connection breaks after so many bytes; 0: never
    bool cutTo = false;          // nothing reaches the dispatcher
    bool cutFrom = false;        // nothing comes from it
    bool refuse = false;         // new connections are closed at once
    std::set<Relay*> open;

    void changed(Time now);  // after a change of the above: what waited goes on where it may
    void breakAll(Time now);
};

class Relay : public wire::Machine, public wire::Driver, public std::enable_shared_from_this<Relay> {
public:
    // `inner` is the side of the rig. Bytes that come from the socket are from the dispatcher, `accepted`
    // says whether the connection is.
    Relay(Deadlines& deadlines, std::shared_ptr<Path> path, std::shared_ptr<wire::Machine> inner,
          std::function<Time()> clock, bool accepted);
    ~Relay() override;

    void opened(Time now) override;
    void received(Time now) override;
    void sent(Time now) override;
    void ended(Time now, End how) override;
    bool finished() const override;

    void wake() override;
    void drop() override;
    bool unread() const override { return !from_.bytes.empty(); }

    void pump(Time now);
    void breakOff(Time now);  // as if the network had reset it

private:
    static constexpr std::size_t kMostHeld = 256 * 1024;  // a direction; beyond that nothing is read
    struct Piece {
        Time due;
        std::string bytes;
    };
    struct Way {
        std::deque<Piece> bytes;
        std::size_t held = 0;
        Time free{0};  // when a throttled way has sent what it was given
    };
    void add(Way& way, Time now, std::string bytes);
    std::optional<Time> move(Way& way, Time now, bool cut, bool toInner);

    Deadlines& deadlines_;
    std::shared_ptr<Path> path_;
    std::shared_ptr<wire::Machine> inner_;
    std::function<Time()> clock_;
    Way from_, to_;
    Deadlines::Timer due_;
    std::size_t passed_ = 0;
    std::optional<End> over_;
    bool up_, gone_ = false, pumping_ = false;
};

}  // namespace amberswitch::lab
