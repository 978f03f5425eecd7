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
    while (state_ == State::open && !throttleTimer_.armed() && !in().empty()) {
        const auto bytes = in().front();
        in().taken(decoder_.feed({bytes.data(), bytes.size()}));
        if (decoder_.bad()) return failProtocol(now, decoder_.fault());
        if (decoder_.packetReady()) {
            ++front_.counters_.packets;
            handlePacket(now, decoder_.takePacket());
        } else if (decoder_.lineReady()) {
            handleAdminCommand(now, decoder_.takeLine());
        }
        // Guards against a peer that sends and never reads.
        if (out().size() > kMaxUnreadOutput) return close(now, End::silent);
    }
    if (state_ != State::open) return;
    if (!decoder_.started())
        incompletePacketTimer_.disarm();
    else if (!incompletePacketTimer_.armed())
        incompletePacketTimer_.arm(front_.deadlines_, now + kIncompletePacketTimeout,
                                   [this](Time at) { failProtocol(at, "half a packet and then nothing"); });
}

// Guards against a peer that sends a refused packet again as soon as it is told so: a worker that asks for
// jobs in a way this server doesn't have would ask tens of thousands of times a second. It gets its answer,
// and past the allowance what it sends next waits in the ring until it may be answered.
void Front::Connection::refuse(Time now, std::string_view code, std::string_view text) {
    ++front_.counters_.refused;
    sendError(code, text);
    const double since = std::chrono::duration<double>(now - lastRefusal_).count();
    refusalTokens_ = std::min(kRefusalBurst, refusalTokens_ + since * kRefusalsPerSecond) - 1;
    lastRefusal_ = now;
    if (refusalTokens_ >= 0) return;
    ++front_.counters_.slowed;
    const auto until = now + Nanos(static_cast<std::int64_t>(-refusalTokens_ / kRefusalsPerSecond * 1e9));
    throttleTimer_.arm(front_.deadlines_, until, [this](Time at) {
        received(at);
        wake();  // there is room to read again
    });
}

void Front::Connection::failProtocol(Time now, std::string_view reason) {
    if (state_ != State::open) return;
    ++front_.counters_.malformed;
    sendError("ERR_PROTOCOL", reason);
    state_ = State::closing;
    incompletePacketTimer_.arm(front_.deadlines_, now + kIncompletePacketTimeout,
                               [this](Time at) { close(at, End::silent); });
    returnPasses(now, true);
    wake();
}

void Front::Connection::close(Time now, End how) {
    if (state_ == State::ended) return;
    const auto self = shared_from_this();
    state_ = State::ended;
    ++front_.counters_.ends[static_cast<std::size_t>(how)];
    incompletePacketTimer_.disarm();
    throttleTimer_.disarm();
    drop();
    returnPasses(now, true);
    front_.connections_.erase(place);
    const auto waited = std::exchange(foregroundJobs_, {});
    for (const auto& job : waited) {
        std::erase_if(job->waitingClients, [&](const auto& client) { return client.lock() == self; });
        job->clientDisconnected(now);
    }
}

void Front::Connection::handlePacket(Time now, const Packet& packet) {
    const auto& arguments = packet.arguments;
    switch (packet.type) {
        case Type::submitJob:
            return submitJob(now, packet, false, normal);
        case Type::submitJobHigh:
            return submitJob(now, packet, false, high);
        case Type::submitJobLow:
            return submitJob(now, packet, false, low);
        case Type::submitJobBg:
            return submitJob(now, packet, true, normal);
        case Type::submitJobHighBg:
            return submitJob(now, packet, true, high);
        case Type::submitJobLowBg:
            return submitJob(now, packet, true, low);
        case Type::getStatus: {
            const auto at = front_.jobs_.find(arguments[0]);
            return sendStatus(Type::statusRes, arguments[0],
                              at == front_.jobs_.end() ? nullptr : at->second.get());
        }
        case Type::getStatusUnique: {
            const Job* found = nullptr;
            for (const auto& [key, job] : front_.jobsByUniqueId_)
                if (key.substr(key.find('\0') + 1) == arguments[0]) found = job.get();
            return sendStatus(Type::statusResUnique, arguments[0], found);
        }
        case Type::echoReq:
            return send(Type::echoRes, {arguments[0]});
        case Type::optionReq:
            if (arguments[0] != "exceptions")
                return refuse(now, "ERR_UNKNOWN_OPTION", "there is no such option");
            exceptions = true;
            return send(Type::optionRes, {arguments[0]});
        case Type::setClientId:
            id = arguments[0].empty() ? "-" : arguments[0];
            return;
        case Type::canDo:
        case Type::canDoTimeout: {
            const auto klass = front_.classOf(arguments[0]);
            if (!klass) return refuse(now, "ERR_UNKNOWN_FUNCTION", "no class of job has this name");
            functions_.insert(*klass);
            timeouts_.erase(*klass);
            if (packet.type == Type::canDoTimeout)
                if (const std::uint64_t seconds = parseUnsigned(arguments[1]);
                    seconds > 0 && seconds < 1'000'000)
                    timeouts_[*klass] = std::chrono::seconds(seconds);
            return updateFunctions(now);
        }
        case Type::cantDo:
            if (const auto klass = front_.classOf(arguments[0])) functions_.erase(*klass);
            return updateFunctions(now);
        case Type::resetAbilities:
            functions_.clear();
            return updateFunctions(now);
        case Type::preSleep:
            sleeping_ = true;
            if (!queue_.empty() && assigned_.size() < front_.config_.workerSlots)
                send(Type::noop, {}), sleeping_ = false;
            return;
        case Type::grabJob:
            return grabJob(now, Grab::plain);
        case Type::grabJobUniq:
            return grabJob(now, Grab::unique);
        case Type::grabJobAll:
            return grabJob(now, Grab::all);
        case Type::workStatus:
        case Type::workComplete:
        case Type::workFail:
        case Type::workException:
        case Type::workData:
        case Type::workWarning:
            return handleWorkReport(now, packet);
        case Type::allYours:
            return;  // it has no other job server: nothing hangs on that here
        case Type::submitJobSched:
        case Type::submitJobEpoch:
        case Type::submitReduceJob:
        case Type::submitReduceJobBg:
            return refuse(now, "ERR_UNSUPPORTED", "this server does not do that");
        default:
            return failProtocol(now, "a packet that only a server sends");
    }
}

}  // namespace amberswitch::gearman
