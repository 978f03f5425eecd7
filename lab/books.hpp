// What is seen from outside, and whether it was right. It believes no dispatcher: clients, job servers and
// the list service each tell it what they saw themselves.
#pragma once

#include <array>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/deadlines.hpp"

namespace amberswitch::lab {

enum class Count {  // what is counted by the second
    listCalls,
    wholeLists,
    turnedAway,
    listConnections,
    serverConnections,
    handshakes,
    probes,
    attempts,
    served,
    refused,
    failed,
    ready,
    falls,
    overLimit,
    unserved,
    tasks,
    tasksServed,
    homeTasks,
    homeServed,
    outside,
    kCount
};
constexpr std::size_t kCounts = static_cast<std::size_t>(Count::kCount);
const char* nameOf(Count count);

class Books {
public:
    Books(Time began, bool repeats, Nanos drain = std::chrono::milliseconds(2500))
        : began_(began), repeats_(repeats), drainGrace_(drain + std::chrono::milliseconds(50)) {}

    void count(Time now, Count what) { ++second(now)[static_cast<std::size_t>(what)]; }

    // Clients' side.
    void asked(Time now, const std::string& id, int dispatcher, Time giveUp, bool home = false);
    void answered(Time now, const std::string& id, int status, const std::string& result);
    void unread(const std::string& id);  // its connection closed between two requests: it was sent anew
    void broke(Time now, const std::string& id);  // the connection ended without an answer
    // Job servers' side.
    void attempted(Time now, const std::string& id, int dispatcher, int server, bool atHome = true);
    void neverRan(const std::string& id, int server);  // turned away, or called off before its start
    void ended(const std::string& id, int server, const std::string& result);
    void fell(Time now, int server);
    // The list service's side: the list with this standing was written to this dispatcher.
    void told(Time now, int dispatcher, int server, bool on);
    // What the rig did itself: jobs of this dispatcher may be lost between these times.
    void excuse(int dispatcher, Time from, Time until);
    void wrong(Time now, const std::string& what);

    void close(Time now, Time takenBefore);  // who is still owed an answer by now has not had one

    const std::vector<std::array<std::uint32_t, kCounts>>& seconds() const { return seconds_; }
    // Tasks of home that came to servers elsewhere, most in any such span.
    std::size_t mostOutside(Nanos span) const;
    std::uint64_t sum(Count what, Time from = Time(0)) const;
    const std::vector<std::string>& wrongs() const { return wrongs_; }
    std::size_t wrongCount() const { return wrongCount_; }
    double sinceBegin(Time at) const { return std::chrono::duration<double>(at - began_).count(); }
    Time began() const { return began_; }

private:
    static constexpr std::size_t kMostWrongs = 50;
    static constexpr Nanos kSlack = std::chrono::milliseconds(250);  // for the rig's own lateness
    struct Attempt {
        int server = 0;
        bool over = false, never = false;
    };
    struct Job {
        int dispatcher = 0, answers = 0;
        bool home = false, outside = false;
        Time asked{0}, giveUp{0};
        std::vector<Attempt> attempts;
        std::vector<std::string> results;
    };
    struct Excuse {
        Time from, until;
    };
    std::array<std::uint32_t, kCounts>& second(Time now);
    bool excused(int dispatcher, Time from, Time until) const;
    Attempt* open(const std::string& id, int server);

    Time began_;
    bool repeats_;  // a job that may have run may be sent again
    Nanos drainGrace_;
    std::unordered_map<std::string, Job> jobs_;
    std::map<std::pair<int, int>, Time> offSince_;  // by dispatcher and server: when it was told
    std::multimap<int, Excuse> excuses_;
    std::vector<std::array<std::uint32_t, kCounts>> seconds_;
    std::vector<Time> outside_;
    std::vector<std::string> wrongs_;
    std::size_t wrongCount_ = 0;
};

}  // namespace amberswitch::lab
