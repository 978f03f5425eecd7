#include "takeover/takeover.hpp"

#include <algorithm>

namespace amberswitch::takeover {

Takeover::Takeover(Deadlines& deadlines, service::Service& service, std::string name, Ways ways)
    : deadlines_(deadlines), service_(service), name_(std::move(name)), ways_(std::move(ways)) {}

Takeover::LinkRef Takeover::make(Time now, bool older) {
    ++counters_.links;
    // The machine's own address names it in its events: it outlives them.
    const auto self = std::make_shared<Link*>(nullptr);
    Link::Events events;
    events.met = [this, self, older](Time at) {
        told_ = 0, tellUsage(at);
        if (!older) (*self)->tellFarm(ways_.list(), ways_.ids());
    };
    events.farm = [this, older](Time at, std::string_view list, std::vector<std::string> ids) {
        if (older) start(at, list, ids, Fault::none);
    };
    events.serving = [this, self, older](Time at) {
        if (!older) succeeded(at, *self);
    };
    events.callback = [this, self](Time at, std::string body, std::uint32_t hops, Link::Said said) {
        taken(at, *self, std::move(body), hops, std::move(said));
    };
    events.ended = [this, self](Time at, Fault why) { lost(at, *self, why); };
    auto link = std::make_shared<Link>(deadlines_, now, name_, std::move(events));
    *self = link.get();
    return link;
}

std::shared_ptr<Link> Takeover::begin(Time now) {
    predecessor_ = make(now, true);
    patience_.arm(deadlines_, now + kPatience, [this](Time at) { start(at, {}, {}, Fault::silent); });
    return predecessor_;
}

std::shared_ptr<wire::Machine> Takeover::accept(Time now) {
    // Guards against peers that connect and say nothing, one after the other: they end within a second.
    if (links_.size() >= kMostLinks) return ++counters_.refused, nullptr;
    links_.push_back(make(now, false));
    return links_.back();
}

// The new process can serve like the old one, or will get no help to. Told once.
void Takeover::start(Time now, std::string_view list, const std::vector<std::string>& ids, Fault why) {
    if (std::exchange(started_, true)) return;
    patience_.disarm();
    if (!list.empty() || !ids.empty()) {
        ++counters_.inherited;
        ways_.inherit(now, list, ids);
    } else {
        ++counters_.cold;
        if (why != Fault::none)
            ways_.say(std::string("begins without the old process's list: ") + nameOf(why));
    }
    ways_.accept(now, true);
    ways_.listen(now);
    service_.begin(now);
    if (predecessor_ && predecessor_->met()) predecessor_->tellServing();
}

void Takeover::succeeded(Time now, Link* by) {
    successor_ = by;
    ++counters_.succeeded;
    ways_.accept(now, false);
    service_.succeed(now, true);
    ways_.say("another process serves now; this one keeps the connections it has");
}

void Takeover::lost(Time now, Link* link, Fault why) {
    if (predecessor_.get() == link) {
        const auto kept = std::exchange(predecessor_, nullptr);
        const bool nobody = why == Fault::silent && !kept->reached();  // no process, or a dead one's leftover
        return start(now, {}, {}, nobody ? Fault::none : why);
    }
    if (why != Fault::gone) {
        ++counters_.refused;
        ways_.say(std::string("a link from another process was ended: ") + nameOf(why));
    }
    std::erase_if(links_, [link](const LinkRef& one) { return one.get() == link; });
    if (successor_ != link) return;
    successor_ = nullptr;
    service_.succeed(now, false);
    if (service_.ending()) return;
    // Guards against nobody taking clients: the new process went before this one was told to end.
    ++counters_.retaken;
    ways_.say("the process that served is gone; this one takes clients again");
    ways_.accept(now, true);
    ways_.listen(now);
}

void Takeover::taken(Time now, Link* from, std::string body, std::uint32_t hops, Link::Said said) {
    if (ways_.own(now, body)) {
        ++counters_.took;
        return said(now, Link::Word::owned);
    }
    if (hops >= kMostHops) return said(now, Link::Word::nobodys);
    pass(now, from, body, hops, std::move(said));
}

void Takeover::pass(Time now, Link* from, const std::string& body, std::uint32_t hops, Link::Said said) {
    std::vector<std::weak_ptr<Link>> others;
    if (predecessor_ && predecessor_.get() != from && predecessor_->met()) others.push_back(predecessor_);
    for (const LinkRef& link : links_)
        if (link.get() != from && link->met()) others.push_back(link);
    if (!others.empty()) ++counters_.passedOn;
    askNext(now, std::move(others), body, hops + 1, std::move(said));
}

// One after the other, until one has the job. A link that ends meanwhile has nobody behind it any more.
void Takeover::askNext(Time now, std::vector<std::weak_ptr<Link>> left, std::string body, std::uint32_t hops,
                       Link::Said said) {
    std::shared_ptr<Link> link;
    while (!link && !left.empty()) {
        link = left.back().lock();
        left.pop_back();
    }
    if (!link) return said(now, Link::Word::nobodys);
    link->ask(now, body, hops,
              [this, left = std::move(left), body, hops, said = std::move(said)](Time at, Link::Word word) {
                  if (word == Link::Word::nobodys && !left.empty())
                      return askNext(at, left, body, hops, said);
                  ++(word == Link::Word::owned     ? counters_.owned
                     : word == Link::Word::nobodys ? counters_.nobodys
                                                   : counters_.unknown);
                  said(at, word);
              });
}

std::size_t Takeover::descriptors() const {
    std::size_t sum = predecessor_ ? predecessor_->descriptors() : 0;
    for (const LinkRef& link : links_) sum += link->descriptors();
    return sum;
}

void Takeover::tellUsage(Time now) {
    usage_.disarm();
    if (!linked()) return;
    usage_.arm(deadlines_, now + kUsage, [this](Time at) { tellUsage(at); });
    const std::size_t held = ways_.descriptors();
    if (held == told_) return;
    told_ = held;
    if (predecessor_ && predecessor_->met()) predecessor_->tellUsage(held);
    for (const LinkRef& link : links_)
        if (link->met()) link->tellUsage(held);
}

}  // namespace amberswitch::takeover
