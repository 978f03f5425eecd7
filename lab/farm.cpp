#include "lab/farm.hpp"

#include <algorithm>

namespace amberswitch::lab {

using namespace std::chrono_literals;

Farm::Farm(World& world, EndpointOf dispatcherAt)
    : world_(world), dispatcherAt_(std::move(dispatcherAt)), servers_(world.script.servers.count) {
    const std::size_t limit = world.script.servers.connections;
    for (int s = 0; s < static_cast<int>(servers_.size()); ++s)
        for (int d = 0; d < static_cast<int>(world.script.dispatchers); ++d)
            listeners_[{s, d}] = world_.listen(world_.path(d, Side::servers, s), [this, s, d,
                                                                                  limit](Time now) {
                Server& server = at(s);
                if (!server.up) return std::shared_ptr<Answering>();
                if (server.connections >= limit) {
                    world_.books.count(now, Count::overLimit);
                    return std::shared_ptr<Answering>();
                }
                most_ = std::max(most_, ++server.connections);
                world_.books.count(now, Count::serverConnections);
                return std::make_shared<Answering>(
                    world_.deadlines(), now,
                    [this, s, d, fresh = true](Time then, const auto& from, http::Message message) mutable {
                        take(then, s, d, from, message, std::exchange(fresh, false));
                    },
                    [this, s] { --at(s).connections; });
            });
}

std::string Farm::address(int dispatcher, int server) const {
    return "127.0.0.1:" + std::to_string(listeners_.at({server, dispatcher})->address().port());
}

double Farm::speed(const Server& server, Time now) const {
    const auto& script = world_.script.servers;
    if (script.cold.count() == 0 || server.since.count() == 0) return 1;
    const double share =
        static_cast<double>((now - server.since).count()) / static_cast<double>(script.cold.count());
    return std::min(1.0, script.coldFrom + (1 - script.coldFrom) * share);
}

void Farm::kill(Time now, int s) {
    Server& server = at(s);
    if (!std::exchange(server.up, false)) return;
    server.jobs.clear(), server.running = 0, server.arrivals.clear();
    for (auto& [d, teller] : server.tellers) teller.calls.clear();
    for (int d = 0; d < static_cast<int>(world_.script.dispatchers); ++d)
        world_.path(d, Side::servers, s)->breakAll(now);
}

void Farm::start(Time now, int s) {
    kill(now, s);
    at(s).up = true, at(s).stalled = false;
    at(s).since = now;
}

void Farm::take(Time now, int s, int dispatcher, const std::shared_ptr<Answering>& from,
                const http::Message& message, bool fresh) {
    Server& server = at(s);
    const auto& script = world_.script.servers;
    if (message.method == "GET") {
        world_.books.count(now, Count::probes);
        return from->reply(now, 200, "{}");
    }
    if (message.method == "DELETE") {
        const std::string id(message.path().substr(std::min<std::size_t>(message.path().size(), 6)));
        const auto job = std::find_if(server.jobs.begin(), server.jobs.end(),
                                      [&id](const Job& one) { return one.id == id; });
        if (job != server.jobs.end()) {
            if (!job->started) world_.books.neverRan(id, s);
            over(now, s, id);
        }
        return from->reply(now, 200, "");
    }
    const std::string* const id = message.header("x-trace-id");
    if (!id) return from->reply(now, 404, "");
    world_.books.attempted(now, *id, dispatcher, s, static_cast<std::size_t>(s) % script.zones == 0);
    if (fresh) world_.books.count(now, Count::handshakes);
    const double pace = speed(server, now);
    if (pace < 1) {  // all that reaches it weighs, what it turns away too
        while (!server.arrivals.empty() && server.arrivals.front() < now - 1s) server.arrivals.pop_front();
        server.arrivals.push_back(now);
        const double work =
            static_cast<double>(server.arrivals.size()) * std::chrono::duration<double>(script.job).count();
        if (work > script.fallMultiple * pace * static_cast<double>(script.slots)) {
            world_.books.fell(now, s);
            kill(now, s);
            return;
        }
    }
    if (server.errs) {
        world_.books.ended(*id, s, "");
        return from->reply(now, 500, "error\n");
    }
    if (server.jobs.size() >= script.slots + script.queue) {
        world_.books.neverRan(*id, s);
        return from->reply(now, 503, "full\n", "X-Never-Ran: 1\r\n");
    }
    if (world_.draw() < script.endless) {  // it may have run, and nobody will ever say
        from->blurt("HTTP/1.1 202 Accepted\r\nTransfer-Encoding: chunked\r\n\r\n");
        return goOn(now, from);
    }
    Job job;
    job.id = *id, job.dispatcher = dispatcher;
    job.takes =
        Nanos(static_cast<std::int64_t>(static_cast<double>(script.job.count()) * (0.5 + world_.draw()))) +
        (fresh ? script.handshake : Nanos(0));
    server.jobs.push_back(std::move(job));
    from->reply(now, 202, "");
    if (world_.draw() < script.secondAnswers)
        world_.deadlines().once(now + 4ms, [again = std::weak_ptr<Answering>(from)](Time) {
            if (const auto to = again.lock()) to->blurt("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n");
        });
    begin(now, s);
}

void Farm::goOn(Time now, const std::weak_ptr<Answering>& to) {
    const auto from = to.lock();
    if (!from || from->state() == http::Server::State::ended) return;
    from->blurt("1\r\n \r\n");
    world_.deadlines().once(now + 20ms, [this, to](Time at) { goOn(at, to); });
}

void Farm::begin(Time now, int s) {
    Server& server = at(s);
    for (Job& job : server.jobs) {
        if (server.running >= world_.script.servers.slots) return;
        if (job.started) continue;
        job.started = true, ++server.running;
        tell(s, job.dispatcher,
             "{\"id\":\"" + job.id + "\",\"from\":\"s" + std::to_string(s) + "\",\"state\":\"started\"}");
        const Nanos takes(
            static_cast<std::int64_t>(static_cast<double>(job.takes.count()) / speed(server, now)));
        const std::function<void(Time)> done = [this, s, id = job.id](Time then) { over(then, s, id); };
        job.due->arm(world_.deadlines(), now + takes, done);
    }
}

void Farm::over(Time now, int s, const std::string& id) {
    Server& server = at(s);
    const auto job =
        std::find_if(server.jobs.begin(), server.jobs.end(), [&id](const Job& one) { return one.id == id; });
    if (job == server.jobs.end()) return;
    if (server.stalled && job->started) {  // it does nothing until it goes on
        const std::function<void(Time)> again = [this, s, id](Time then) { over(then, s, id); };
        return job->due->arm(world_.deadlines(), now + 50ms, again);
    }
    const Job was = std::move(*job);
    server.jobs.erase(job);
    if (was.started) {
        --server.running;
        const std::string result = "r" + std::to_string(++results_);
        world_.books.ended(id, s, result);
        tell(s, was.dispatcher,
             "{\"id\":\"" + id + "\",\"from\":\"s" + std::to_string(s) +
                 "\",\"state\":\"done\",\"result\":\"" + result + "\"}");
    }
    begin(now, s);
}

void Farm::tell(int s, int dispatcher, std::string body) {
    at(s).tellers[dispatcher].calls.emplace_back(std::move(body), 0);
    next(s, dispatcher);
}

void Farm::next(int s, int dispatcher) {
    Teller& teller = at(s).tellers[dispatcher];
    if (teller.busy || teller.calls.empty()) return;
    teller.busy = true;
    const bool fresh = !teller.connection || teller.connection->state() != http::Client::State::idle;
    if (fresh) teller.connection = std::make_shared<Asking>();
    const std::string& body = teller.calls.front().first;
    teller.connection->ask(
        "POST /callback HTTP/1.1\r\nHost: rig\r\nContent-Type: application/json\r\nContent-Length: " +
            std::to_string(body.size()) + "\r\n\r\n" + body,
        [this, s, dispatcher](Time, const http::Message&) {
            Teller& mine = at(s).tellers[dispatcher];
            mine.busy = false;
            if (!mine.calls.empty()) mine.calls.pop_front();
            next(s, dispatcher);
        },
        [this, s, dispatcher](Time at_, End) {
            Teller& mine = at(s).tellers[dispatcher];
            if (!mine.calls.empty() && ++mine.calls.front().second >= kTries) mine.calls.pop_front();
            world_.deadlines().once(at_ + 100ms, [this, s, dispatcher](Time) {
                at(s).tellers[dispatcher].busy = false;
                next(s, dispatcher);
            });
        });
    if (fresh)
        world_.connect(world_.path(dispatcher, Side::servers, s), teller.connection,
                       dispatcherAt_(dispatcher));
}

}  // namespace amberswitch::lab
