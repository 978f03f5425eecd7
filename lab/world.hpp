// What the stand-ins share: the loop, the books, one random source, and the ways between each two.
#pragma once

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_real_distribution.hpp>
#include <map>

#include "lab/books.hpp"
#include "lab/relay.hpp"
#include "lab/script.hpp"
#include "net/loop.hpp"

namespace amberswitch::lab {

enum class Side { list, servers, clients };

class World {
public:
    World(const Script& s, net::Loop& l)
        : script(s),
          loop(l),
          books(l.now(), s.clients.effect == "read_like", s.list.drain),
          random_(s.seed) {}

    const Script& script;
    net::Loop& loop;
    Books books;

    double draw() { return boost::random::uniform_real_distribution<double>(0, 1)(random_); }
    Deadlines& deadlines() { return loop.deadlines(); }

    // `other` tells job servers apart.
    std::shared_ptr<Path> path(int dispatcher, Side side, int other = 0) {
        auto& path = paths_[{dispatcher, static_cast<int>(side), other}];
        if (!path) path = std::make_shared<Path>();
        return path;
    }
    template <class Do>
    void eachPath(int dispatcher, Side side, Do&& act) {
        const int at = static_cast<int>(side);
        for (auto one = paths_.lower_bound({dispatcher, at, 0}); one != paths_.end(); ++one) {
            if (std::get<0>(one->first) != dispatcher || std::get<1>(one->first) != at) break;
            act(*one->second);
        }
    }

    // Listens for one dispatcher alone, at a port of its own.
    using Make = std::function<std::shared_ptr<wire::Machine>(Time)>;
    std::unique_ptr<net::Listener> listen(std::shared_ptr<Path> path, Make make) {
        const net::tcp::endpoint at(net::asio::ip::make_address("127.0.0.1"), 0);
        return std::make_unique<net::Listener>(
            loop, at, [this, path, make](Time now) -> std::shared_ptr<wire::Machine> {
                std::shared_ptr<wire::Machine> machine = path->refuse ? nullptr : make(now);
                if (!machine) return nullptr;  // closed at once
                return std::make_shared<Relay>(loop.deadlines(), path, std::move(machine), clock(), true);
            });
    }
    void connect(std::shared_ptr<Path> path, std::shared_ptr<wire::Machine> machine,
                 const net::tcp::endpoint& to) {
        if (path->refuse) {
            const auto refused = [machine, this] { machine->ended(loop.now(), End::connectRefused); };
            return net::asio::post(loop.strand(), refused);
        }
        const auto relay =
            std::make_shared<Relay>(loop.deadlines(), std::move(path), std::move(machine), clock(), false);
        net::Link::connect(loop, relay, to);
    }

private:
    std::function<Time()> clock() {
        return [this] { return loop.now(); };
    }

    boost::random::mt19937_64 random_;
    std::map<std::tuple<int, int, int>, std::shared_ptr<Path>> paths_;
};

}  // namespace amberswitch::lab
