#include "gearman/front.hpp"

#include <unistd.h>

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <deque>

namespace amberswitch::gearman {

using heronmount::RosterMode;
using heronmount::Standing;

namespace {

enum Priority { high, normal, low };

std::string advice(Nanos retryIn) {
    char text[64];
    std::snprintf(text, sizeof text, "unavailable; Retry-After: %.3f",
                  static_cast<double>(retryIn.count()) * 1e-9);
    return text;
}

std::uint64_t wholeNumber(std::string_view text) {
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

}  // namespace

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

// One connection, a client's, a worker's or both.
class Front::Connection : public wire::Machine, public std::enable_shared_from_this<Connection> {
public:
    enum class State { open, closing, ended };

    Connection(Front& owner, std::uint64_t count) : number(count), owner_(owner) {}

    const std::uint64_t number;
    std::string id = "-";
    bool exceptions = false;
    std::list<std::shared_ptr<Connection>>::iterator place;

    void say(Type type, std::initializer_list<std::string_view> arguments) {
        if (state_ != State::open) return;
        out().put(encode(false, type, arguments));
        wake();
    }

    // As a client
    void answered(const Submission* submission) {
        std::erase_if(mine_, [&](const auto& one) { return one.get() == submission; });
    }

    // As a worker
    bool worker() const { return slot_.has_value(); }
    const std::set<std::size_t>& functions() const { return functions_; }
    void offer(Time now, const ProxyPass& pass, int priority);
    void abandon(const ProxyPass& pass);
    bool offers(const ProxyPass& pass) const;

    void received(Time now) override;
    void ended(Time now, End how) override { over(now, how); }
    bool finished() const override { return state_ == State::closing; }

private:
    struct Offered {  // a pass that waits until the worker grabs it
        ProxyPass pass;
        int priority = normal;
    };
    struct Assigned {
        TransactionId transaction = 0;
        std::uint32_t pass = 0;
        bool abandoned = false;  // it runs on, but nobody waits for it
    };
    static constexpr Nanos kHalf = std::chrono::seconds(10);
    static constexpr std::size_t kMostUnread = 256 * 1024;
    // Packets that ask for what isn't there: so many at once, so many a second; then the peer is read later.
    static constexpr double kRefusedAtOnce = 16, kRefusedASecond = 10;
    enum class Grab { plain, unique, all };

    void packet(Time now, const Packet& packet);
    void line(Time now, const std::string& text);
    void submit(Time now, const Packet& packet, bool background, int priority);
    void abilities(Time now);
    void takeBack(Time now, bool all);
    void grab(Time now, Grab how);
    void refuse(Time now, std::string_view code, std::string_view text);
    void report(Time now, const Packet& packet);
    void status(Type type, std::string_view by, const Submission* submission);
    void error(std::string_view code, std::string_view text) { say(Type::error, {code, text}); }
    void giveUp(Time now, std::string_view why);
    void over(Time now, End how);
    std::string serverName() const { return "gearman/" + std::to_string(*slot_); }

    Front& owner_;
    State state_ = State::open;
    Decoder decoder_{true};
    Deadlines::Ticket half_, slowed_;
    double mayBeRefused_ = kRefusedAtOnce;
    Time refusedAt_{0};
    std::vector<std::shared_ptr<Submission>> mine_;  // foreground ones this client waits for
    // As a worker
    std::optional<std::size_t> slot_;  // its place among the workers; the farm knows it by this
    Worker server_ = 0;
    Time since_{0};
    std::set<std::size_t> functions_;
    std::map<std::size_t, Nanos> timeouts_;
    bool sleeping_ = false;
    std::deque<Offered> offered_;
    std::unordered_map<Handle, Assigned> assigned_;
};

// --- submission ---
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

// --- connection ---
void Front::Connection::received(Time now) {
    const auto self = shared_from_this();
    while (state_ == State::open && !slowed_.armed() && !in().empty()) {
        const auto bytes = in().front();
        in().taken(decoder_.feed({bytes.data(), bytes.size()}));
        if (decoder_.bad()) return giveUp(now, decoder_.fault());
        if (decoder_.packetReady()) {
            ++owner_.counters_.packets;
            packet(now, decoder_.takePacket());
        } else if (decoder_.lineReady()) {
            line(now, decoder_.takeLine());
        }
        // Guards against a peer that sends and never reads.
        if (out().size() > kMostUnread) return over(now, End::silent);
    }
    if (state_ != State::open) return;
    if (!decoder_.started())
        half_.disarm();
    else if (!half_.armed())
        half_.arm(owner_.deadlines_, now + kHalf,
                  [this](Time at) { giveUp(at, "half a packet and then nothing"); });
}

// Guards against a peer that sends a refused packet again as soon as it is told so: a worker that asks for
// jobs in a way this server doesn't have would ask tens of thousands of times a second. It gets its answer,
// and past the allowance what it sends next waits in the ring until it may be answered.
void Front::Connection::refuse(Time now, std::string_view code, std::string_view text) {
    ++owner_.counters_.refused;
    error(code, text);
    const double since = std::chrono::duration<double>(now - refusedAt_).count();
    mayBeRefused_ = std::min(kRefusedAtOnce, mayBeRefused_ + since * kRefusedASecond) - 1;
    refusedAt_ = now;
    if (mayBeRefused_ >= 0) return;
    ++owner_.counters_.slowed;
    const auto until = now + Nanos(static_cast<std::int64_t>(-mayBeRefused_ / kRefusedASecond * 1e9));
    slowed_.arm(owner_.deadlines_, until, [this](Time at) {
        received(at);
        wake();  // there is room to read again
    });
}

void Front::Connection::giveUp(Time now, std::string_view why) {
    if (state_ != State::open) return;
    ++owner_.counters_.malformed;
    error("ERR_PROTOCOL", why);
    state_ = State::closing;
    half_.arm(owner_.deadlines_, now + kHalf, [this](Time at) { over(at, End::silent); });
    takeBack(now, true);
    wake();
}

void Front::Connection::over(Time now, End how) {
    if (state_ == State::ended) return;
    const auto self = shared_from_this();
    state_ = State::ended;
    ++owner_.counters_.ends[static_cast<std::size_t>(how)];
    half_.disarm();
    slowed_.disarm();
    drop();
    takeBack(now, true);
    owner_.connections_.erase(place);
    const auto waited = std::exchange(mine_, {});
    for (const auto& submission : waited) {
        std::erase_if(submission->listeners, [&](const auto& l) { return l.lock() == self; });
        submission->listenerLeft(now);
    }
}

void Front::Connection::packet(Time now, const Packet& p) {
    const auto& arg = p.arguments;
    switch (p.type) {
        case Type::submitJob:
            return submit(now, p, false, normal);
        case Type::submitJobHigh:
            return submit(now, p, false, high);
        case Type::submitJobLow:
            return submit(now, p, false, low);
        case Type::submitJobBg:
            return submit(now, p, true, normal);
        case Type::submitJobHighBg:
            return submit(now, p, true, high);
        case Type::submitJobLowBg:
            return submit(now, p, true, low);
        case Type::getStatus: {
            const auto at = owner_.submissions_.find(arg[0]);
            return status(Type::statusRes, arg[0],
                          at == owner_.submissions_.end() ? nullptr : at->second.get());
        }
        case Type::getStatusUnique: {
            const Submission* found = nullptr;
            for (const auto& [key, submission] : owner_.unique_)
                if (key.substr(key.find('\0') + 1) == arg[0]) found = submission.get();
            return status(Type::statusResUnique, arg[0], found);
        }
        case Type::echoReq:
            return say(Type::echoRes, {arg[0]});
        case Type::optionReq:
            if (arg[0] != "exceptions") return refuse(now, "ERR_UNKNOWN_OPTION", "there is no such option");
            exceptions = true;
            return say(Type::optionRes, {arg[0]});
        case Type::setClientId:
            id = arg[0].empty() ? "-" : arg[0];
            return;
        case Type::canDo:
        case Type::canDoTimeout: {
            const auto klass = owner_.classOf(arg[0]);
            if (!klass) return refuse(now, "ERR_UNKNOWN_FUNCTION", "no class of job has this name");
            functions_.insert(*klass);
            timeouts_.erase(*klass);
            if (p.type == Type::canDoTimeout)
                if (const std::uint64_t s = wholeNumber(arg[1]); s > 0 && s < 1'000'000)
                    timeouts_[*klass] = std::chrono::seconds(s);
            return abilities(now);
        }
        case Type::cantDo:
            if (const auto klass = owner_.classOf(arg[0])) functions_.erase(*klass);
            return abilities(now);
        case Type::resetAbilities:
            functions_.clear();
            return abilities(now);
        case Type::preSleep:
            sleeping_ = true;
            if (!offered_.empty() && assigned_.size() < owner_.config_.workerSlots)
                say(Type::noop, {}), sleeping_ = false;
            return;
        case Type::grabJob:
            return grab(now, Grab::plain);
        case Type::grabJobUniq:
            return grab(now, Grab::unique);
        case Type::grabJobAll:
            return grab(now, Grab::all);
        case Type::workStatus:
        case Type::workComplete:
        case Type::workFail:
        case Type::workException:
        case Type::workData:
        case Type::workWarning:
            return report(now, p);
        case Type::allYours:
            return;  // it has no other job server: nothing hangs on that here
        case Type::submitJobSched:
        case Type::submitJobEpoch:
        case Type::submitReduceJob:
        case Type::submitReduceJobBg:
            return refuse(now, "ERR_UNSUPPORTED", "this server does not do that");
        default:
            return giveUp(now, "a packet that only a server sends");
    }
}

void Front::Connection::submit(Time now, const Packet& p, bool background, int priority) {
    const auto klass = owner_.classOf(p.arguments[0]);
    if (!klass) return refuse(now, "ERR_UNKNOWN_FUNCTION", "no class of job has this name");
    ++owner_.counters_.submitted;
    if (owner_.draining_) return error("ERR_UNAVAILABLE", advice(std::chrono::milliseconds(100)));
    const std::string& given = p.arguments[1];
    const std::string unique = given == "-" ? p.arguments[2] : given;  // '-': the data is the id
    std::string key = p.arguments[0] + '\0' + unique;
    if (!unique.empty())
        if (const auto at = owner_.unique_.find(key); at != owner_.unique_.end()) {  // it joins the same job
            const auto joined = at->second;
            ++owner_.counters_.joined;
            say(Type::jobCreated, {joined->handle});
            joined->background = joined->background || background;
            if (background) return;
            if (std::find(mine_.begin(), mine_.end(), joined) == mine_.end()) {
                joined->listeners.push_back(weak_from_this());
                mine_.push_back(joined);
            }
            return;
        }
    // Guards against clients that submit without end on one connection: each job may hold 64 KiB.
    if (owner_.submissions_.size() >= owner_.config_.mostJobs)
        return error("ERR_UNAVAILABLE", advice(std::chrono::milliseconds(100)));
    const std::size_t most = owner_.most_[*klass];
    if (most > 0 && static_cast<std::size_t>(
                        std::count_if(owner_.submissions_.begin(), owner_.submissions_.end(),
                                      [&](const auto& one) { return one.second->klass == *klass; })) >= most)
        return error("ERR_UNAVAILABLE", advice(std::chrono::milliseconds(100)));

    const auto submission = std::make_shared<Submission>(
        owner_, "H:" + owner_.config_.name + ':' + std::to_string(++owner_.lastHandle_), *klass);
    submission->background = background, submission->priority = priority;
    const auto& function = owner_.config_.functions[*klass];
    Arrival arrival;
    arrival.request.klass = static_cast<std::uint32_t>(*klass);
    arrival.request.timeLeft = background ? function.backgroundDeadline : function.deadline;
    arrival.request.slots = function.slots;
    const auto tenant = owner_.config_.tenants.find(id);
    arrival.request.tenant = tenant == owner_.config_.tenants.end() ? owner_.config_.tenant : tenant->second;
    arrival.job.className = p.arguments[0];
    arrival.job.traceId = submission->handle;
    arrival.job.key = given == "-" ? "" : given;
    arrival.job.body = p.arguments[2];
    arrival.priority = priority;
    arrival.client = submission;
    owner_.submissions_[submission->handle] = submission;
    if (!unique.empty()) submission->uniqueKey = key, owner_.unique_[std::move(key)] = submission;
    submission->transaction = owner_.core_.arrive(now, std::move(arrival));
    if (submission->refusedAtOnce) return error("ERR_UNAVAILABLE", advice(*submission->refusedAtOnce));
    say(Type::jobCreated, {submission->handle});
    submission->created = true;
    if (submission->over) {
        if (!background) say(Type::workFail, {submission->handle});
        return;
    }
    if (background) return;
    submission->listeners.push_back(weak_from_this());
    mine_.push_back(submission);
}

void Front::Connection::status(Type type, std::string_view by, const Submission* submission) {
    const char* const known = submission ? "1" : "0";
    const char* const running = submission && submission->running ? "1" : "0";
    const std::string done = std::to_string(submission ? static_cast<int>(submission->share * 100) : 0);
    const char* const of = submission && submission->running ? "100" : "0";
    if (type == Type::statusRes) return say(type, {by, known, running, done, of});
    const std::string waiting = std::to_string(submission ? submission->listeners.size() : 0);
    say(type, {by, known, running, done, of, waiting});
}

// What the worker offers has changed: the farm is told. With no function left it drains: what it runs it may
// finish, and what waited for it goes back unstarted.
void Front::Connection::abilities(Time now) {
    if (functions_.empty() && !slot_) return;
    if (!slot_) {
        if (owner_.freeSlots_.empty()) owner_.freeSlots_.insert(owner_.slots_++);
        slot_ = *owner_.freeSlots_.begin();
        owner_.freeSlots_.erase(owner_.freeSlots_.begin());
        server_ = owner_.core_.handleOf(serverName());
        owner_.workers_[server_] = this;
        // A new occupant of a place: what was learned of the last one is void. It started long ago for all
        // that is known here, so it counts as warm.
        since_ = Time(static_cast<std::int64_t>(++owner_.occupants_));
    }
    FarmEntry told;
    told.name = serverName();
    told.entry.zone = owner_.core_.site().module.zone, told.placed = false;
    told.entry.cell = 1'000'000 + static_cast<int>(*slot_);  // no other worker is known to drop its repeats
    told.entry.units = static_cast<double>(owner_.config_.workerSlots);
    told.entry.since = since_;
    told.entry.standing = functions_.empty() ? Standing::draining : Standing::on;
    for (const std::size_t klass : functions_) told.entry.classes |= std::uint64_t{1} << klass;
    owner_.core_.farm(now, owner_, owner_, RosterMode::changes, {told});
    takeBack(now, false);
}

// Passes that the worker has not begun go back, proved never to have run; where it has gone, those it runs
// end as reset.
void Front::Connection::takeBack(Time now, bool gone) {
    if (!slot_) return;
    const auto self = shared_from_this();
    if (gone) {
        const std::size_t slot = *slot_;
        FarmEntry told;
        told.name = serverName();
        told.entry.standing = Standing::off;
        told.entry.zone = owner_.core_.site().module.zone, told.placed = false;
        told.entry.since = since_;
        functions_.clear();
        owner_.workers_.erase(server_);
        slot_.reset();
        owner_.core_.farm(now, owner_, owner_, RosterMode::changes, {told});
        owner_.freeSlots_.insert(slot);
    }
    std::vector<Offered> back;
    std::erase_if(offered_, [&](const Offered& one) {
        if (functions_.contains(one.pass.klass)) return false;
        back.push_back(one);
        return true;
    });
    for (const Offered& one : back)
        owner_.core_.passEnded(now, one.pass.transaction, one.pass.number,
                               gone ? End::brokeUnsent : End::handedBack);
    if (!gone) return;
    const auto running = std::exchange(assigned_, {});
    for (const auto& [handle, one] : running)
        if (!one.abandoned) owner_.core_.passEnded(now, one.transaction, one.pass, End::lost);
}

void Front::Connection::offer(Time now, const ProxyPass& pass, int priority) {
    if (state_ != State::open || !functions_.contains(pass.klass) ||
        offered_.size() >= owner_.config_.workerQueue + owner_.config_.workerSlots)
        return owner_.core_.passEnded(now, pass.transaction, pass.number, End::handedBack);
    const auto at = std::find_if(offered_.begin(), offered_.end(),
                                 [&](const Offered& other) { return other.priority > priority; });
    offered_.insert(at, {pass, priority});
    if (sleeping_ && assigned_.size() < owner_.config_.workerSlots) say(Type::noop, {}), sleeping_ = false;
}

bool Front::Connection::offers(const ProxyPass& pass) const {
    return std::any_of(offered_.begin(), offered_.end(), [&](const Offered& one) {
        return one.pass.transaction == pass.transaction && one.pass.number == pass.number;
    });
}

void Front::Connection::abandon(const ProxyPass& pass) {
    std::erase_if(offered_, [&](const Offered& one) {
        return one.pass.transaction == pass.transaction && one.pass.number == pass.number;
    });
    for (auto& [handle, one] : assigned_)
        if (one.transaction == pass.transaction && one.pass == pass.number) one.abandoned = true;
}

void Front::Connection::grab(Time now, Grab how) {
    sleeping_ = false;
    const auto full = [this] { return offered_.empty() || assigned_.size() >= owner_.config_.workerSlots; };
    if (full()) return say(Type::noJob, {});
    ProxyPass pass = offered_.front().pass;
    // Guards against a job that waited here until nobody wants it, or it may not run any more.
    while (!owner_.core_.mayBegin(now, pass.transaction, pass.number)) {
        const auto self = shared_from_this();
        abandon(pass);
        owner_.core_.passEnded(now, pass.transaction, pass.number, End::unsent);
        if (full()) return say(Type::noJob, {});
        pass = offered_.front().pass;
    }
    offered_.pop_front();
    ++owner_.counters_.assigned;
    const Handle handle = "H:" + owner_.config_.name + ":j" + std::to_string(pass.transaction) + '.' +
                          std::to_string(pass.number);
    assigned_[handle] = {pass.transaction, pass.number, false};
    if (how == Grab::unique)
        say(Type::jobAssignUniq, {handle, pass.job->className, pass.job->key, pass.job->body});
    else if (how == Grab::all)  // no job here is to be reduced: the reducer is empty
        say(Type::jobAssignAll, {handle, pass.job->className, pass.job->key, "", pass.job->body});
    else
        say(Type::jobAssign, {handle, pass.job->className, pass.job->body});
    if (const auto most = timeouts_.find(pass.klass); most != timeouts_.end())
        owner_.deadlines_.once(now + most->second,
                               [&core = owner_.core_, id = pass.transaction, number = pass.number](Time at) {
                                   core.passEnded(at, id, number, End::timedOut);
                               });
    owner_.core_.passStarted(now, pass.transaction, pass.number);
}

// Guards against reports that come late or twice: only the worker that a job was given to is heard, once.
void Front::Connection::report(Time now, const Packet& p) {
    const auto at = assigned_.find(p.arguments[0]);
    if (at == assigned_.end()) {
        ++owner_.counters_.stray;
        return;
    }
    const Assigned job = at->second;
    const bool ends =
        p.type == Type::workComplete || p.type == Type::workFail || p.type == Type::workException;
    if (ends) assigned_.erase(at);
    if (job.abandoned) {
        ++owner_.counters_.stray;
        return;
    }
    Core& core = owner_.core_;
    if (p.type == Type::workComplete)
        core.passEnded(now, job.transaction, job.pass, End::served, p.arguments[1]);
    if (p.type == Type::workFail) core.passEnded(now, job.transaction, job.pass, End::failed);
    if (p.type == Type::workException)
        core.passEnded(now, job.transaction, job.pass, End::failed, p.arguments[1]);
    if (p.type == Type::workData)
        core.passPartial(now, job.transaction, job.pass, Partial::data, p.arguments[1]);
    if (p.type == Type::workWarning)
        core.passPartial(now, job.transaction, job.pass, Partial::warning, p.arguments[1]);
    if (p.type == Type::workStatus) {
        const double of = static_cast<double>(wholeNumber(p.arguments[2]));
        core.passProgress(now, job.transaction, job.pass,
                          of > 0 ? static_cast<double>(wholeNumber(p.arguments[1])) / of : 0);
    }
}

void Front::Connection::line(Time now, const std::string& text) {
    std::vector<std::string> words;
    for (std::size_t at = 0; at < text.size();) {
        const std::size_t end = std::min(text.find(' ', at), text.size());
        if (end > at) words.push_back(text.substr(at, end - at));
        at = end + 1;
    }
    const auto reply = [this](std::string_view answer) { out().put(answer), wake(); };
    const std::string first = words.empty() ? "" : words[0], second = words.size() > 1 ? words[1] : "";
    if (first == "status") return reply(owner_.tableOfFunctions());
    if (first == "workers") return reply(owner_.tableOfWorkers());
    if (first == "prioritystatus") return reply(owner_.tableOfPriorities());
    if (first == "version") return reply("OK amberswitch 0.2.0\n");
    if (first == "getpid") return reply("OK " + std::to_string(::getpid()) + "\n");
    if (first == "verbose") return reply("OK INFO\n");
    if (first == "show" && second == "jobs") return reply(owner_.tableOfJobs());
    if (first == "show" && second == "unique") {
        std::string table;
        for (const auto& [key, submission] : owner_.unique_) table += key.substr(key.find('\0') + 1) + '\n';
        return reply(table + ".\n");
    }
    if (first == "cancel" && second == "job" && words.size() == 3) {
        const auto at = owner_.submissions_.find(words[2]);
        if (at == owner_.submissions_.end() || at->second->running)
            return reply("ERR UNKNOWN_JOB no+such+job+waits\n");
        const auto job = at->second;
        const TransactionId transaction = job->transaction;
        job->failed(now, "cancelled");
        owner_.core_.clientLeft(now, transaction);
        return reply("OK\n");
    }
    if (first == "maxqueue" && words.size() >= 2) {
        const auto klass = owner_.classOf(words[1]);
        if (!klass) return reply("ERR UNKNOWN_FUNCTION no+such+function\n");
        owner_.most_[*klass] = words.size() > 2 && words[2][0] != '-' ? wholeNumber(words[2]) : 0;
        return reply("OK\n");
    }
    if ((first == "create" || first == "drop") && second == "function" && words.size() == 3) {
        const bool known = owner_.classOf(words[2]).has_value();
        if (first == "create")
            return reply(known ? "OK\n" : "ERR UNKNOWN_FUNCTION functions+are+the+classes+of+the+settings\n");
        return reply(known ? "ERR FUNCTION_IN_USE functions+are+the+classes+of+the+settings\n" : "OK\n");
    }
    if (first == "shutdown") {
        reply("OK\n");
        if (owner_.shutdown_) owner_.shutdown_(now);
        return;
    }
    reply("ERR UNKNOWN_COMMAND Unknown+server+command\n");
}

// --- front ---
Front::Front(Core& core, Deadlines& deadlines, Config config)
    : core_(core), deadlines_(deadlines), config_(std::move(config)), most_(config_.functions.size()) {}
Front::~Front() = default;

std::shared_ptr<wire::Machine> Front::accept(Time) {
    ++counters_.connections;
    auto connection = std::make_shared<Connection>(*this, ++lastConnection_);
    connections_.push_back(connection);
    connection->place = std::prev(connections_.end());
    return connection;
}

void Front::drain(Time) {
    draining_ = true;
}

bool Front::quiet() const {
    return std::all_of(connections_.begin(), connections_.end(),
                       [](const auto& connection) { return connection->out().empty(); });
}

std::optional<std::size_t> Front::classOf(std::string_view function) const {
    const auto& names = core_.site().classes;
    const auto at = std::find(names.begin(), names.end(), function);
    if (at == names.end()) return std::nullopt;
    return static_cast<std::size_t>(at - names.begin());
}

Front::Connection* Front::workerOf(Worker server) const {
    const auto at = workers_.find(server);
    return at == workers_.end() ? nullptr : at->second;
}

void Front::start(Time now, const ProxyPass& pass) {
    Connection* const worker = workerOf(pass.server);
    if (!worker) return core_.passEnded(now, pass.transaction, pass.number, End::connectRefused);
    worker->offer(now, pass, pass.priority);
}

bool Front::begun(const ProxyPass& pass) const {
    const Connection* const worker = workerOf(pass.server);
    return !worker || !worker->offers(pass);
}

void Front::abandon(Time, const ProxyPass& pass) {
    if (Connection* const worker = workerOf(pass.server)) worker->abandon(pass);
}

void Front::probe(Time now, Worker server) {
    core_.probeAnswered(now, server, workerOf(server) != nullptr, {});
}

std::string Front::tableOfFunctions() const {
    std::string table;
    for (std::size_t klass = 0; klass < core_.site().classes.size(); ++klass) {
        std::size_t total = 0, running = 0, able = 0;
        for (const auto& [handle, one] : submissions_)
            if (one->klass == klass) ++total, running += one->running;
        for (const auto& [server, worker] : workers_) able += worker->functions().contains(klass);
        table += core_.site().classes[klass] + '\t' + std::to_string(total) + '\t' + std::to_string(running) +
                 '\t' + std::to_string(able) + '\n';
    }
    return table + ".\n";
}

std::string Front::tableOfPriorities() const {
    std::string table;
    for (std::size_t klass = 0; klass < core_.site().classes.size(); ++klass) {
        std::size_t waiting[3] = {}, able = 0;
        for (const auto& [handle, one] : submissions_)
            if (one->klass == klass && !one->running) ++waiting[one->priority];
        for (const auto& [server, worker] : workers_) able += worker->functions().contains(klass);
        table += core_.site().classes[klass];
        for (const std::size_t count : waiting) table += '\t' + std::to_string(count);
        table += '\t' + std::to_string(able) + '\n';
    }
    return table + ".\n";
}

// The core knows no addresses: a dash stands in their place.
std::string Front::tableOfWorkers() const {
    std::string table;
    for (const auto& connection : connections_) {
        table += std::to_string(connection->number) + " - " + connection->id + " :";
        for (const std::size_t klass : connection->functions()) table += ' ' + core_.site().classes[klass];
        table += '\n';
    }
    return table + ".\n";
}

std::string Front::tableOfJobs() const {
    std::string table;
    for (const auto& [handle, one] : submissions_)
        table += handle + "\t0\t0\t" + (one->running ? "1" : "0") + '\n';
    return table + ".\n";
}

}  // namespace amberswitch::gearman
