// One connection between the old and the new process of a dispatcher: frames in and out, as a machine that
// knows no socket. Whatever is not the protocol ends it; nothing it carries can harm this process.
#pragma once

#include <functional>
#include <string>
#include <unordered_map>

#include "wire/machine.hpp"

namespace amberswitch::takeover {

// Why a link could not be had, or ended.
enum class Fault { none, gone, silent, garbled, version, stranger };
const char* nameOf(Fault fault);

class Link : public wire::Machine, public std::enable_shared_from_this<Link> {
public:
    static constexpr std::uint32_t kVersion = 1;
    static constexpr std::size_t kMostFrame = 4 * 1024 * 1024;      // as large as a list may be
    static constexpr std::size_t kMostOwed = 1024 * 1024;           // bytes of calls that it has not taken
    static constexpr std::size_t kMostAsked = 4096;                 // callbacks that wait for its word
    static constexpr Nanos kHello = std::chrono::seconds(1);        // to say who it is
    static constexpr Nanos kWord = std::chrono::milliseconds(800);  // to say what became of a callback

    enum class Word { owned, nobodys, unknown };  // unknown: no word came in time
    using Said = std::function<void(Time, Word)>;

    // Who the link is for. All are called from within the machine; `ended` is the last call.
    struct Events {
        std::function<void(Time)> met;  // the other side is who it should be
        std::function<void(Time, std::string_view list, std::vector<std::string> ids)> farm;
        std::function<void(Time)> serving;
        // A call for a job of the other side's knowledge; `said` is to be called once, at any time.
        std::function<void(Time, std::string body, std::uint32_t hops, Said said)> callback;
        std::function<void(Time, Fault)> ended;
    };

    Link(Deadlines& deadlines, Time now, std::string name, Events events);

    bool met() const { return met_; }
    bool reached() const { return reached_; }                 // there was somebody at the other end
    std::size_t descriptors() const { return descriptors_; }  // that the other side holds
    void tellFarm(std::string list, const std::vector<std::string>& ids);
    void tellServing();
    void tellUsage(std::size_t descriptors);
    void ask(Time now, const std::string& body, std::uint32_t hops, Said said);
    void close(Time now, Fault why = Fault::gone) { finish(now, why); }

    void opened(Time now) override;
    void received(Time now) override;
    void ended(Time now, End how) override;
    bool finished() const override { return false; }

private:
    struct Asked {
        Said said;
        Deadlines::Ticket due;
    };

    template <class Frame>
    void put(const Frame& frame);
    void take(Time now, std::string_view bytes);
    void finish(Time now, Fault why);

    Deadlines& deadlines_;
    const std::string name_;
    Events events_;
    Deadlines::Ticket hello_;
    std::string frame_;  // what has come of one that is not whole
    std::unordered_map<std::uint64_t, Asked> asked_;
    std::uint64_t lastAsked_ = 0;
    std::size_t descriptors_ = 0;
    bool met_ = false, reached_ = false, over_ = false;
};

}  // namespace amberswitch::takeover
