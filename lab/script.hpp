// What is played: a fleet, what it serves and what fails in it. Read from JSON, strictly.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/deadlines.hpp"

namespace amberswitch::lab {

struct ListScript {
    bool ask = true;                               // else a list is pushed: each machine has its own agent
    double callsPerSecond = 100;                   // one call at a time
    std::size_t room = 1000;                       // calls that wait; who comes beyond gets 503
    Nanos mostWait = std::chrono::seconds(6);      // a call that waited longer gets 503
    double retryAfter = 0;                         // seconds, told with each 503; 0: not told
    bool indented = false;                         // as a person would write it
    Nanos drain{std::chrono::milliseconds(2500)};  // from then on after the word: nothing new
};

struct ServersScript {
    std::size_t count = 8, slots = 8, queue = 16, connections = 4000;
    Nanos job{std::chrono::milliseconds(40)}, cold{0}, handshake{0};
    double coldFrom = 0.12, fallMultiple = 3;
    std::size_t zones = 1;  // server s stands in zone s % zones, whatever a list says
    double secondAnswers = 0,
           endless = 0;  // shares: a second 202 some milliseconds later; one without an end
};

struct ClientsScript {
    double perSecond = 100;
    Nanos giveUp = std::chrono::seconds(3);
    std::string effect = "read_like";  // as the settings name what a repeat does
    std::size_t retries = 2;
    Nanos from{0};         // the first comes then
    double homeShare = 0;  // of the tasks: of the customer `home`, whose home is zone z0
    bool keepOn = false;   // after SIGTERM they send on every connection that stays open
};

// When a fault sets in. All that is given must hold; the time counts from when the rest does.
struct Condition {
    std::string after;          // this fault has set in, or `until:` its name has ended
    double readyShare = 0;      // of the fleet said yes on /-/ready, once
    std::size_t listCalls = 0;  // the list service was called so often,
    int of = -1;                // by this dispatcher alone
    Nanos wait{0};
};

struct Fault {
    std::string name, act;
    Condition when;
    Nanos lasts{0};             // 0: for good
    double share = 0;           // of dispatchers or servers, drawn by the seed
    std::vector<int> whom;      // or these
    std::string side = "list";  // of a cut, delay, ...: between dispatchers and the list, servers or clients
    std::string way = "both";   // of a cut: to, from (the dispatcher), both
    double amount = 0;          // of the act: milliseconds, bytes, bytes a second, calls, a factor
};

struct Expect {               // a bound that is not given (under 0) is not looked at
    double wholeLists = -1;   // a dispatcher
    double turnedAway = -1;   // share of calls to the list service
    double overPace = -1;     // most calls in a second, of the service's pace, past the first 0.5 s
    Nanos ready{-1};          // until all have said yes once
    double servedShare = -1;  // least, of the jobs of the last three seconds
    double wholeAfter = -1;   // whole lists asked for once the first fault has set in
    double outsideMost = -1;  // tasks of `home` that went to servers outside z0, in any `outsideSpan`
    Nanos outsideSpan{std::chrono::seconds(1)};
    double homeServed = -1;  // least share, of home's tasks of the last three seconds
    double overLimit = -1;   // connections that job servers had no place for
};

struct Script {
    std::string name = "fleet";
    std::uint64_t seed = 1;
    std::size_t dispatchers = 3;
    Nanos lasts = std::chrono::seconds(10), startWithin = std::chrono::milliseconds(500);
    std::string known = "none";  // or fresh, gone: what the configuration says of servers
    std::string own = "{}";      // the operator file
    ListScript list;
    ServersScript servers;
    ClientsScript clients;
    std::vector<Fault> faults;
    Expect expect;
};

// Throws settings::BadField: one line with the path of the file and of the field.
Script readScript(const std::string& path);
Script parseScript(const std::string& path, const std::string& text);

}  // namespace amberswitch::lab
