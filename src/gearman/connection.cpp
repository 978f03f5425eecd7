// Connection handling: decodes what the peer sends, hands each packet to its handler, slows down a peer that
// is refused too often, and ends the connection.
#include "gearman/connection.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

#include "gearman/text.hpp"

namespace amberswitch::gearman {

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

}  // namespace amberswitch::gearman
