// The list service: asked or watched, one call at a time, with a room for those that wait.
#pragma once

#include <deque>
#include <map>

#include "lab/ends.hpp"
#include "lab/world.hpp"

namespace amberswitch::lab {

class Lists {
public:
    static constexpr Nanos kAskWithin = std::chrono::seconds(10);  // as the settings say
    static constexpr Nanos kTold = std::chrono::seconds(6);        // what there is counts as told after that
    struct Entry {
        std::string status = "Ready";  // Terminating, Gone
        std::int64_t sinceMs = 0;
        int zone = -1;  // as it is labelled; -1: as it was
    };
    using AddressOf = std::function<std::string(int dispatcher, int server)>;
    Lists(World& world, AddressOf addressOf);

    std::string address(int dispatcher) const;
    void relabel(Time now, int server, int zone);
    void change(Time now, int server, Entry entry);  // told to all who watch
    std::string whole(int dispatcher, bool ofNow = true) const;

    void down(Time now, bool yes);
    void busy(double share) { busy_ = share; }  // answers 503 to so many at once
    void stall(Time now, bool yes);             // takes calls and answers none
    void pace(double callsPerSecond) { pace_ = callsPerSecond; }
    void silence(Time now);  // the watches that are open hear nothing more
    void move(Time now);     // to another port; who is to call there has to be told
    void anew(Time now);     // starts again and counts from 1
    void old(bool yes);      // whole lists are as they were now
    std::size_t calls() const { return calls_; }
    std::size_t callsOf(int dispatcher) const { return callsOf_[static_cast<std::size_t>(dispatcher)]; }
    void onCall(std::function<void(Time)> hear) { heard_ = std::move(hear); }

private:
    struct Call {
        std::weak_ptr<Answering> from;
        int dispatcher = 0;
        std::int64_t index = -1;  // none: the whole list
        Nanos wait{0};
        Time came{0};
    };
    struct Watch {
        std::weak_ptr<Answering> from;
        int dispatcher = 0;
        std::int64_t index = 0;
        Time until{0};
    };
    void take(Time now, int dispatcher, const std::shared_ptr<Answering>& from, const http::Message& message);
    void turnAway(Time now, const std::shared_ptr<Answering>& from);
    void work(Time now);
    void answer(Time now, const Call& call);
    void sweep(Time now);
    void open(int dispatcher);
    void owe(Time now, int dispatcher, Time made);  // when a change counts as told, whoever heard of it
    void counts(Time now, int dispatcher);
    void tell(Time now, const std::shared_ptr<Answering>& to, int dispatcher, std::int64_t from);
    std::string entry(int dispatcher, int server, const Entry& entry) const;

    World& world_;
    AddressOf addressOf_;
    std::vector<std::unique_ptr<net::Listener>> listeners_;
    std::vector<Entry> entries_, frozen_;
    std::map<std::int64_t, int> changes_;  // by version: the server that changed
    std::int64_t version_ = 41, floor_ = 41;
    std::deque<Call> queue_;
    std::vector<Watch> watches_;
    std::vector<std::size_t> callsOf_;
    std::vector<Time> deafUntil_;  // by dispatcher: what its agent learns counts as told then
    Time back_{0};                 // since when the service is there again
    std::size_t calls_ = 0;
    bool working_ = false, down_ = false, stalled_ = false, old_ = false;
    double busy_ = 0, pace_;
    std::function<void(Time)> heard_;
};

}  // namespace amberswitch::lab
