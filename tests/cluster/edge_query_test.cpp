// GET /message and /message-body: never "no such message" where a dispatcher can't be sure, and always an
// answer in time. Also what servers see of order keys and of the tries that a message has.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <functional>
#include <string>
#include <vector>

#include "tests/cluster/edge_store_world.hpp"
#include "tests/cluster/edge_world.hpp"

using namespace amberswitch::cluster;
using edge_store::Play;
using edge_store::Seen;
using edge_test::EdgeWorld;

namespace {

constexpr Millis kAnswerWithin{2000};
constexpr Millis kKnownAfter{2000};

// The status of a question to the one edge, which must come in time.
int askedInTime(EdgeWorld& world, const std::string& target) {
    HttpRequest ask = world.request(target, "q");
    ask.method = "GET";
    const SteadyTime start = world.world.now();
    const int status = world.statusOf(ask);
    CHECK(world.world.now() - start <= kAnswerWithin);
    return status;
}

// Asks for the state and the bytes of messages that were accepted a while ago, and notes wrong answers.
class Asker {
public:
    explicit Asker(Play& play) : play_(play) {}

    void askSome(int questions) {
        std::vector<std::string> known;
        for (const auto& [id, message] : play_.seen) {
            const bool is_old = message.status == 202 && play_.world().now() - message.answered > kKnownAfter;
            if (is_old) known.push_back(id);
        }
        for (int question = 0; question < questions && !known.empty(); ++question) {
            const std::string& id = known[play_.world().random()() % known.size()];
            ask(id, question % 2 == 0);
        }
    }
    int asked() const { return asked_; }
    int answered() const { return answered_; }
    int unsure() const { return unsure_; }

private:
    void ask(const std::string& id, bool state) {
        const std::size_t edge = play_.world().random()() % play_.edges.size();
        if (!play_.edges[edge].node) return;
        ++asked_;
        HttpRequest request;
        request.method = "GET";
        request.target = (state ? "/message/" : "/message-body/") + play_.seen.at(id).ref;
        request.headers = {{"Host", "host.example"}};
        const SteadyTime start = play_.world().now();
        play_.edges[edge].node->handleFront(request, [this, id, state, start](const HttpResponse& response) {
            judge(id, state, start, response);
        });
    }
    void judge(const std::string& id, bool state, SteadyTime start, const HttpResponse& response) {
        ++answered_;
        const Seen& message = play_.seen.at(id);
        if (play_.world().now() - start > kAnswerWithin) play_.faults.push_back("late: " + id);
        if (response.status == 503) ++unsure_;
        const bool exists = state || !message.ended;
        if (response.status == 404 && exists) play_.faults.push_back("lost: 404 for " + id);
        const bool has_bytes = !state && response.status == 200;
        if (has_bytes && response.body != "body of " + id)
            play_.faults.push_back("mixed: the bytes of " + id);
    }

    Play& play_;
    int asked_ = 0;
    int answered_ = 0;
    int unsure_ = 0;
};

const std::string kOddKey = "k \xff\x80\xc3\xa9;,=%00\"'";

void trafficWithQuestions(Play& play, Asker& asker, int messages) {
    for (int i = 0; i < messages; ++i) {
        const double kind = play.world().chance();
        if (kind < 0.3) {
            play.submit("lines", kind < 0.1 ? kOddKey : "k" + std::to_string(i % 5));
        } else {
            play.submit("plain", {}, false, kind < 0.6 ? 6000 : 0);
        }
        play.world().run(Millis(static_cast<std::int64_t>(play.world().chance() * 24)));
        if (i % 10 == 0) asker.askSome(6);
    }
}

void checkAnswers(Play& play, const Asker& asker) {
    play.world().run(Millis(25'000));
    play.check();
    CHECK(asker.asked() > 100);
    CHECK(asker.answered() > asker.asked() * 9 / 10);  // a killed edge answers nothing
    CHECK(asker.unsure() < asker.asked());
    CHECK_MESSAGE(play.faults.empty(), play.faultText());
}

}  // namespace

TEST_CASE("a dispatcher that can't be sure says 503 within two seconds") {
    struct Situation {
        std::string name;
        std::function<void(EdgeWorld&)> bringAbout;
        int expected = 503;
    };
    const std::vector<Situation> situations{
        {"no view yet", [](EdgeWorld&) {}},
        {"a partition without an owner",
         [](EdgeWorld& world) {
             auto view = world.view(1);
             view->partitions[4].owner = -1;
             world.edge->onView(view);
         }},
        {"a dead owner",
         [](EdgeWorld& world) {
             world.feed();
             world.stores[1]->die();
         }},
        {"a silent owner",
         [](EdgeWorld& world) {
             world.feed();
             world.network.isolate(world.stores[1]->address().ip);
         }},
        {"an owner that is not ready",
         [](EdgeWorld& world) {
             world.feed();
             world.stores[1]->state_reply.status = QueryStatus::not_owner;
         }},
        {"owners that know of none", [](EdgeWorld& world) { world.feed(); }, 404},
    };
    for (const Situation& situation : situations) {
        for (const std::string target : {"/message/p4-id-1", "/message-body/p4-id-1", "/message/bare-id"}) {
            INFO(situation.name << " " << target);
            EdgeWorld world;
            for (auto& store : world.stores) store->state_reply.status = QueryStatus::not_found;
            situation.bringAbout(world);
            CHECK(askedInTime(world, target) == situation.expected);
        }
    }
}

TEST_CASE("a dispatcher answers from its first view on, and takes itself out at once when it leaves") {
    EdgeWorld world;
    HttpRequest ask = world.request("/message/p4-id-1", "q");
    ask.method = "GET";
    int state = 0;
    world.edge->handleFront(ask, [&](const HttpResponse& response) { state = response.status; });
    world.world.run(Millis(900));
    CHECK(state == 0);
    world.feed();
    world.world.run(Millis(200));
    CHECK(state == 200);
    const auto readiness = [&] {
        int given = 0;
        world.edge->handleReadiness(world.request("/ready", ""),
                                    [&](const HttpResponse& response) { given = response.status; });
        return given;
    };
    CHECK(readiness() == 200);
    world.edge->leave([] {});
    CHECK(readiness() == 503);
    CHECK(askedInTime(world, "/message/p4-id-1") == 200);  // on connections that are open
    CHECK(readiness() == 503);
}

TEST_CASE("no accepted message is unknown while stores die, come back and leave; keys are the senders'") {
    int unsure = 0;
    for (std::uint64_t seed = 1; seed <= 15; ++seed) {
        INFO("seed " << seed);
        Play play(seed, 3);
        Asker asker(play);
        trafficWithQuestions(play, asker, 250);
        auto& victim = *play.stores.machines[seed % 3];
        play.stores.stop(victim);
        trafficWithQuestions(play, asker, 80);  // nobody has noticed yet
        play.changeView();
        trafficWithQuestions(play, asker, 150);
        play.stores.start(victim);
        play.changeView();
        trafficWithQuestions(play, asker, 150);
        play.killEdge(seed % 3);
        trafficWithQuestions(play, asker, 50);
        play.startEdge(seed % 3);
        trafficWithQuestions(play, asker, 100);
        unsure += asker.unsure();
        checkAnswers(play, asker);
    }
    MESSAGE("answers of 503: " << unsure);
}

TEST_CASE("no accepted message is unknown on a lossy network") {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        INFO("seed " << seed);
        Play play(seed, 3);
        play.stores.network.loss = 0.02;
        Asker asker(play);
        trafficWithQuestions(play, asker, 500);
        play.stores.network.loss = 0;
        checkAnswers(play, asker);
    }
}

TEST_CASE("a message that has used up its tries reaches no server again, also under new owners") {
    int runs_over_budget = 0;
    for (std::uint64_t seed = 1; seed <= 15; ++seed) {
        INFO("seed " << seed);
        Play play(seed, 3);
        Asker asker(play);
        play.servers.failures = 0.6;
        play.servers.rejections = 0.2;
        trafficWithQuestions(play, asker, 200);
        CHECK(play.runs_over_budget == 0);
        auto& victim = *play.stores.machines[seed % 3];
        play.stores.stop(victim);
        trafficWithQuestions(play, asker, 60);
        play.changeView();
        trafficWithQuestions(play, asker, 150);
        play.stores.start(victim);
        play.changeView();
        trafficWithQuestions(play, asker, 150);
        checkAnswers(play, asker);  // the rule's own bounds, for each message
        CHECK(play.runs_over_budget <= 8);
        runs_over_budget += play.runs_over_budget;
    }
    CHECK(runs_over_budget <= 20);  // of counts that died with their owner; about one a play
}

TEST_CASE("a read of the configuration is answered as such, unless a route takes its path") {
    EdgeWorld world;
    world.feed();
    int reads = 0;
    world.edge->onConfigurationRead([&reads](const HttpResponder& respond) {
        ++reads;
        respond(HttpResponse{});
    });
    HttpRequest read{"GET", "/Config.Read", {{"Host", "10.1.0.1:8069"}}, ""};
    CHECK(world.statusOf(read) == 200);
    CHECK(reads == 1);
    SUBCASE("another method is a message that no route takes") {
        read.method = "POST";
        CHECK(world.statusOf(read) == 404);
    }
    SUBCASE("another path is one too") {
        read.target = "/Config.Reading";
        CHECK(world.statusOf(read) == 404);
    }
    SUBCASE("a route of that path goes first") {
        const auto changed = std::make_shared<Configuration>(*edge_test::configuration());
        ++changed->generation;
        changed->routes.front().path_prefix = "/Config.Read";
        changed->buildIndexes();
        world.edge->onConfiguration(changed);
        HttpRequest message = world.request("/Config.Read", "m-1");
        message.method = "GET";
        world.ask(message);
        CHECK(world.acceptsAsked() > 0);
    }
    CHECK(reads == 1);
}
