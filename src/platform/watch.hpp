// The platform's discovery as a farm source: a standing watch, each call following the last at once.
#pragma once

#include <map>

#include "platform/long_poll.hpp"
#include "platform/servers.hpp"
#include "store/keeper.hpp"

namespace amberswitch::platform {

class Watch : public LongPoll {
public:
    Watch(Core& core, Servers& servers, Deadlines& deadlines, wire::Connector& connector, std::string address,
          const start::Pace& pace = {}, std::uint64_t seed = 0);

    // As it was when this process was started, if it was told one. The watch begins: where lists are asked
    // for, with this dispatcher's turn.
    void begin(Time now, const std::optional<settings::object>& known);
    void known(Time now, const settings::object& list);
    // The list as it was told so far, in the same form, once keep() was called. Its index is -1 where the
    // watch is lost.
    std::string told() const;
    void keep() { keeps_ = true; }
    // Each list is kept there, and without a known one the kept one begins. To be said before begin().
    void keepIn(store::StateFile& keeper) { keeper_ = &keeper, keeps_ = true; }
    bool begunWithAList() const { return begunWithAList_; }
    // Told once, with the first list that is not an old one.
    void setFirst(std::function<void(Time)> first) { first_ = std::move(first); }
    const std::optional<start::CallSchedule>& turns() const { return turns_; }
    // Throws BadField if it can't be used.
    void inherit(Time now, std::string_view list);

private:
    bool beginWithKept(Time now);
    static Pace paceOf(const settings::Site& site);
    std::string target() const override;
    bool waits() const override { return version_.has_value(); }
    Nanos mostWait() override { return turns_ ? turns_->watchWait() : pace().wait; }
    void forgotten(bool moved) override {
        if (moved || !turns_) version_.reset();
    }
    std::optional<Time> nextTurn(Time now, start::CallFailure how, Time notBefore) override;
    std::optional<Time> replied(Time now, Nanos took, bool waited) override;
    Nanos grace() const override;
    bool take(Time now, const http::Message& message) override;
    void take(Time now, const settings::object& list, bool stale);

    void note(const settings::object& from, const FarmList& list);

    Servers& servers_;
    simdjson::dom::parser json_;
    bool keeps_ = false;
    std::map<std::string, std::string, std::less<>> told_;  // by name: an entry as it came
    std::optional<std::int64_t> version_;                   // none: the whole list comes first
    std::optional<start::CallSchedule> turns_;              // where lists are asked for
    std::function<void(Time)> first_;
    Deadlines& deadlines_;
    store::StateFile* keeper_ = nullptr;
    Deadlines::Timer keep_;
    bool begunWithAList_ = false;
    static constexpr Nanos kKeepEvery = std::chrono::seconds(1);
};

}  // namespace amberswitch::platform
