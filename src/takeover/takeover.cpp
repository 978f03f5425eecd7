#include "takeover/takeover.hpp"

#include <algorithm>

namespace amberswitch::takeover {

Takeover::Takeover(Deadlines& deadlines, service::Service& service, std::string name, Actions actions)
    : deadlines_(deadlines), service_(service), name_(std::move(name)), actions_(std::move(actions)) {}

Takeover::LinkRef Takeover::make(Time now, bool older) {
    ++counters_.links;
    // The events identify the link by its address; the link outlives them.
    const auto self = std::make_shared<Link*>(nullptr);
    Link::Events events;
    events.met = [this, self, older](Time at) {
        sentUsage_ = 0, tellUsage(at);
        if (!older) (*self)->sendRoster(actions_.list(), actions_.ids());
    };
    events.roster = [this, older](Time at, std::string_view list, std::vector<std::string> ids) {
        if (older) start(at, list, ids, Fault::none);
    };
    events.serving = [this, self, older](Time at) {
        if (!older) succeeded(at, *self);
    };
    events.callback = [this, self](Time at, std::string body, std::uint32_t hops, Link::Reply reply) {
        taken(at, *self, std::move(body), hops, std::move(reply));
    };
    events.ended = [this, self](Time at, Fault why) { lost(at, *self, why); };
    auto link = std::make_shared<Link>(deadlines_, now, name_, std::move(events));
    *self = link.get();
    return link;
}

std::shared_ptr<Link> Takeover::begin(Time now) {
    predecessor_ = make(now, true);
    predecessorTimer_.arm(deadlines_, now + kPredecessorTimeout,
                          [this](Time at) { start(at, {}, {}, Fault::silent); });
    return predecessor_;
}

std::shared_ptr<wire::Machine> Takeover::accept(Time now) {
    // Limits silent peers. Each of them is closed within a second.
    if (links_.size() >= kMaxLinks) return ++counters_.refused, nullptr;
    links_.push_back(make(now, false));
    return links_.back();
}

// Starts to accept clients, with the state of the predecessor or without it. Has an effect only once.
void Takeover::start(Time now, std::string_view list, const std::vector<std::string>& ids, Fault why) {
    if (std::exchange(started_, true)) return;
    predecessorTimer_.disarm();
    if (!list.empty() || !ids.empty()) {
        ++counters_.inherited;
        actions_.inherit(now, list, ids);
    } else {
        ++counters_.cold;
        if (why != Fault::none)
            actions_.log(std::string("begins without the old process's list: ") + nameOf(why));
    }
    actions_.accept(now, true);
    actions_.listen(now);
    service_.begin(now);
    if (predecessor_ && predecessor_->met()) predecessor_->sendServing();
}

void Takeover::succeeded(Time now, Link* by) {
    successor_ = by;
    ++counters_.succeeded;
    actions_.accept(now, false);
    service_.setSuccessor(now, true);
    actions_.log("another process serves now; this one keeps the connections it has");
}

void Takeover::lost(Time now, Link* link, Fault why) {
    if (predecessor_.get() == link) {
        const auto kept = std::exchange(predecessor_, nullptr);
        const bool nobody = why == Fault::silent && !kept->reached();  // no live process
        return start(now, {}, {}, nobody ? Fault::none : why);
    }
    if (why != Fault::gone) {
        ++counters_.refused;
        actions_.log(std::string("a link from another process was ended: ") + nameOf(why));
    }
    std::erase_if(links_, [link](const LinkRef& one) { return one.get() == link; });
    if (successor_ != link) return;
    successor_ = nullptr;
    service_.setSuccessor(now, false);
    if (service_.ending()) return;
    // The new process ended before this one was told to; without this nobody would accept clients.
    ++counters_.retaken;
    actions_.log("the process that served is gone; this one takes clients again");
    actions_.accept(now, true);
    actions_.listen(now);
}

void Takeover::taken(Time now, Link* from, std::string body, std::uint32_t hops, Link::Reply reply) {
    if (actions_.own(now, body)) {
        ++counters_.took;
        return reply(now, Link::CallbackResult::owned);
    }
    if (hops >= kMaxHops) return reply(now, Link::CallbackResult::unowned);
    pass(now, from, body, hops, std::move(reply));
}

void Takeover::pass(Time now, Link* from, const std::string& body, std::uint32_t hops, Link::Reply reply) {
    std::vector<std::weak_ptr<Link>> others;
    if (predecessor_ && predecessor_.get() != from && predecessor_->met()) others.push_back(predecessor_);
    for (const LinkRef& link : links_)
        if (link.get() != from && link->met()) others.push_back(link);
    if (!others.empty()) ++counters_.passedOn;
    askNext(now, std::move(others), body, hops + 1, std::move(reply));
}

// Asks the links one after the other until one owns the job. Links that have ended meanwhile are skipped.
void Takeover::askNext(Time now, std::vector<std::weak_ptr<Link>> left, std::string body, std::uint32_t hops,
                       Link::Reply reply) {
    std::shared_ptr<Link> link;
    while (!link && !left.empty()) {
        link = left.back().lock();
        left.pop_back();
    }
    if (!link) return reply(now, Link::CallbackResult::unowned);
    link->ask(now, body, hops,
              [this, left = std::move(left), body, hops, reply = std::move(reply)](
                  Time at, Link::CallbackResult word) {
                  if (word == Link::CallbackResult::unowned && !left.empty())
                      return askNext(at, left, body, hops, reply);
                  ++(word == Link::CallbackResult::owned     ? counters_.owned
                     : word == Link::CallbackResult::unowned ? counters_.unowned
                                                             : counters_.unknown);
                  reply(at, word);
              });
}

std::size_t Takeover::descriptors() const {
    std::size_t sum = predecessor_ ? predecessor_->descriptors() : 0;
    for (const LinkRef& link : links_) sum += link->descriptors();
    return sum;
}

void Takeover::tellUsage(Time now) {
    usageTimer_.disarm();
    if (!linked()) return;
    usageTimer_.arm(deadlines_, now + kUsageInterval, [this](Time at) { tellUsage(at); });
    const std::size_t held = actions_.descriptors();
    if (held == sentUsage_) return;
    sentUsage_ = held;
    if (predecessor_ && predecessor_->met()) predecessor_->sendUsage(held);
    for (const LinkRef& link : links_)
        if (link->met()) link->sendUsage(held);
}

}  // namespace amberswitch::takeover
