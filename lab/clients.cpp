#include "lab/clients.hpp"

#include <algorithm>
#include <cmath>

namespace amberswitch::lab {

using namespace std::chrono_literals;

Clients::Clients(World& world, EndpointOf dispatcherAt)
    : world_(world),
      dispatcherAt_(std::move(dispatcherAt)),
      idle_(world.script.dispatchers),
      runs_(world.script.dispatchers) {
    if (world_.script.clients.perSecond > 0)
        world_.deadlines().once(world_.loop.now() + world_.script.clients.from,
                                [this](Time at) { arrive(at); });
}

void Clients::started(int dispatcher) {
    std::erase(leaving_, dispatcher);
    lookAt(dispatcher, ++runs_[static_cast<std::size_t>(dispatcher)]);
}

void Clients::gone(int dispatcher) {
    ++runs_[static_cast<std::size_t>(dispatcher)];
    admitted_.erase(std::remove(admitted_.begin(), admitted_.end(), dispatcher), admitted_.end());
    std::erase(leaving_, dispatcher);
    if (world_.script.clients.keepOn) leaving_.push_back(dispatcher);
}

// Whoever is told nothing else sends on the connection that it has.
int Clients::draw() {
    const auto of = [this](const std::vector<int>& some) {
        return some[static_cast<std::size_t>(world_.draw() * static_cast<double>(some.size()))];
    };
    const auto all = static_cast<double>(leaving_.size() + admitted_.size());
    if (!leaving_.empty() && world_.draw() * all < static_cast<double>(leaving_.size())) {
        const int one = of(leaving_);
        const auto& idle = idle_[static_cast<std::size_t>(one)];
        if (std::any_of(idle.begin(), idle.end(),
                        [](const auto& c) { return c->state() == http::Client::State::idle; }))
            return one;
        std::erase(leaving_, one);
    }
    return admitted_.empty() ? -1 : of(admitted_);
}

void Clients::lookAt(int dispatcher, std::uint64_t run) {
    if (stopped_ || runs_[static_cast<std::size_t>(dispatcher)] != run) return;
    const auto again = [this, dispatcher, run](Time at) {
        world_.deadlines().once(at + 100ms, [this, dispatcher, run](Time) { lookAt(dispatcher, run); });
    };
    const auto one = std::make_shared<Asking>();
    one->ask(
        "GET /-/ready HTTP/1.1\r\nHost: front\r\nConnection: close\r\n\r\n",
        [this, dispatcher, run, again](Time at, const http::Message& answer) {
            if (runs_[static_cast<std::size_t>(dispatcher)] != run) return;
            const auto place = std::find(admitted_.begin(), admitted_.end(), dispatcher);
            if (answer.status == 200 && place == admitted_.end()) {
                admitted_.push_back(dispatcher);
                if (ever_.insert(dispatcher).second) world_.books.count(at, Count::ready), lastReady_ = at;
            } else if (answer.status != 200 && place != admitted_.end()) {
                admitted_.erase(place);
            }
            again(at);
        },
        [again](Time at, End) { again(at); });
    world_.connect(world_.path(dispatcher, Side::clients), one, dispatcherAt_(dispatcher));
}

void Clients::arrive(Time now) {
    if (stopped_) return;
    const bool home = world_.script.clients.homeShare > 0 && world_.draw() < world_.script.clients.homeShare;
    world_.books.count(now, Count::tasks);
    if (home) world_.books.count(now, Count::homeTasks);
    send(now, {now, now + world_.script.clients.giveUp, 0, home});
    const double gap = -std::log(1 - world_.draw()) / (world_.script.clients.perSecond * factor_);
    const Nanos wait(static_cast<std::int64_t>(1e9 * gap));
    world_.deadlines().once(now + wait, [this](Time at) { arrive(at); });
}

// A client that is turned away comes again, later each time.
void Clients::later(Time now, Task task, double seconds) {
    const double wait =
        std::max(seconds, 0.1 * std::pow(2, static_cast<double>(task.tries))) * (1 + world_.draw());
    const Time at = now + Nanos(static_cast<std::int64_t>(wait * 1e9));
    if (++task.tries > world_.script.clients.retries || at >= task.giveUp)
        return world_.books.count(now, Count::unserved);
    world_.deadlines().once(at, [this, task](Time then) { send(then, task); });
}

void Clients::send(Time now, Task task) {
    const int dispatcher = draw();
    if (dispatcher < 0) return later(now, task, 0.1);
    char id[32];
    std::snprintf(id, sizeof id, "%016llx", static_cast<unsigned long long>(++ids_ * 0x9e3779b97f4a7c15u));
    pass(now, dispatcher, task, id, false);
}

void Clients::pass(Time now, int dispatcher, Task task, const std::string& id, bool again) {
    auto& idle = idle_[static_cast<std::size_t>(dispatcher)];
    std::shared_ptr<Asking> one;
    while (!idle.empty() && !one && !again) {
        if (idle.back()->state() == http::Client::State::idle) one = idle.back();
        idle.pop_back();
    }
    const bool fresh = !one;
    if (fresh) one = std::make_shared<Asking>();
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(task.giveUp - now).count();
    if (left <= 0) return world_.books.count(now, Count::unserved);
    world_.books.asked(now, id, dispatcher, task.giveUp, task.home);
    one->ask(
        "POST /job HTTP/1.1\r\nHost: fleet\r\nX-Trace-Id: " + id +
            "\r\nX-Qos: job\r\nX-Customer: " + (task.home ? "home" : "one") +
            "\r\nX-Expires-In-Ms: " + std::to_string(left) + "\r\nContent-Length: 2\r\n\r\n{}",
        [this, dispatcher, task, id, one](Time at, const http::Message& answer) {
            world_.books.answered(at, id, answer.status, answer.body);
            if (one->state() == http::Client::State::idle)
                idle_[static_cast<std::size_t>(dispatcher)].push_back(one);
            if (answer.status == 200) {
                if (task.home) world_.books.count(task.came, Count::homeServed);
                return world_.books.count(task.came, Count::tasksServed);
            }
            const std::string* const wait = answer.header("retry-after");
            if (answer.status == 503 || answer.status == 429)
                return later(at, task, wait ? std::atof(wait->c_str()) : 0.1);
            world_.books.count(at, Count::unserved);
        },
        [this, dispatcher, task, id, fresh](Time at, End how) {
            // Nobody took it: the front noticed, or a kept connection was closed as it was written.
            const bool nobody = how == End::connectRefused || how == End::connectTimedOut;
            if (nobody || (!fresh && how != End::shutDown)) {
                world_.books.unread(id);
                return nobody ? later(at, task, 0.1) : pass(at, dispatcher, task, id, true);
            }
            world_.books.broke(at, id);
            later(at, task, 0.1);
        });
    if (fresh) world_.connect(world_.path(dispatcher, Side::clients), one, dispatcherAt_(dispatcher));
}

}  // namespace amberswitch::lab
