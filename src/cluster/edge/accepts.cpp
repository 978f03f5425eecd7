#include "cluster/edge/accepts.hpp"

#include <algorithm>
#include <utility>

#include "cluster/common/codec.hpp"
#include "cluster/edge/message_ref.hpp"

namespace amberswitch::cluster {
namespace {

constexpr Millis kShortestAccept{150};
constexpr Millis kLongestAccept{1000};
constexpr double kLongestAcceptOfTarget = 2.5;  // in parts of the route's target latency
constexpr int kMostTries = 3;
constexpr int kWaitingShare = 4;  // of the route's target latency, the part that may go into waiting
constexpr Millis kOwnerCheck{10};
constexpr Millis kShortestRetryAfter{100};
constexpr Millis kLongestRetryAfter{400};
constexpr int kRetryShare = 3;  // of the client's deadline: a few tries are spread over it

}  // namespace

HttpResponse tryLater(Millis wait) {
    constexpr int kMillisPerSecond = 1000;
    constexpr int kDigits = 3;
    std::string digits = std::to_string(wait.count() % kMillisPerSecond);
    digits.insert(0, kDigits - digits.size(), '0');
    HttpResponse response;
    response.status = 503;
    response.headers.push_back(
        {"Retry-After", std::to_string(wait.count() / kMillisPerSecond) + "." + digits});
    return response;
}

Accepts::Accepts(Scheduler& scheduler, Transport& transport, PartitionMap& partitions, Deliveries& deliveries,
                 EdgeCounters& counters, EdgeIdentity self)
    : scheduler_(scheduler),
      transport_(transport),
      partitions_(partitions),
      deliveries_(deliveries),
      counters_(counters),
      self_(std::move(self)),
      random_(self_.incarnation) {}

void Accepts::accept(MessageContent content, const Route& route, std::optional<Millis> deadline,
                     HttpResponder respond) {
    const OfferId id = ++last_id_;
    Offer& offer = offers_[id];
    offer.content = std::move(content);
    offer.retention = route.retention;
    offer.max_failures = route.max_retries;
    offer.delivery_timeout = route.timeout;
    offer.respond = std::move(respond);
    const Millis patience =
        std::clamp(std::chrono::duration_cast<Millis>(kLongestAcceptOfTarget * route.target_latency),
                   kShortestAccept, kLongestAccept);
    offer.give_up_at = scheduler_.now() + std::min(patience, deadline.value_or(patience));
    if (deadline)
        offer.retry_after =
            std::clamp<Millis>(*deadline / kRetryShare, kShortestRetryAfter, kLongestRetryAfter);
    offer.retry_until = scheduler_.now() + route.target_latency / kWaitingShare;
    tryNext(id);
}

// --- Tries -------------------------------------------------------------------------------------------------

void Accepts::tryNext(OfferId id) {
    Offer& offer = offers_.at(id);
    if (offer.tries >= kMostTries || scheduler_.now() >= offer.give_up_at) return giveUp(id);
    if (!choosePartition(offer)) {
        const bool all_tried = !offer.content.ordered && offer.tries > 0;
        return all_tried ? giveUp(id) : waitForOwner(id, offer);
    }
    call(id, offer, *partitions_.owner(offer.partition));
}

// False where no owner may be asked by the present view.
bool Accepts::choosePartition(Offer& offer) {
    if (partitions_.partitions() == 0) return false;
    if (!offer.content.ordered) {
        const auto partition = partitions_.pick(random_, offer.tried);
        if (partition) offer.partition = *partition;
        return partition.has_value();
    }
    offer.partition = partitions_.partitionOfKey(offer.content.order_scope, offer.content.order_key);
    const StoreMember* const owner = partitions_.owner(offer.partition);
    if (!owner || partitions_.suspected(owner->member.address)) return false;
    return offer.epoch == 0 || owner->member.address != offer.owner;
}

void Accepts::call(OfferId id, Offer& offer, const StoreMember& owner) {
    if (offer.tries++ > 0) ++counters_.accept_retries;
    offer.owner = owner.member.address;
    offer.epoch = partitions_.epoch();
    offer.tried.insert(offer.owner);
    offer.called_at = scheduler_.now();
    AcceptMessageRequest request;
    request.edge = self_.name;
    request.edge_address = self_.address;
    request.partition = offer.partition;
    request.epoch = offer.epoch;
    request.retention_ms = offer.retention.count();
    request.max_failures = offer.max_failures;
    request.timeout_ms = offer.delivery_timeout.count();
    request.wants_grant = offer.content.delay_ms == 0 && deliveries_.wantsGrantFor(offer.content.service);
    std::swap(request.content, offer.content);  // encoded without a copy of the body
    Envelope encoded = envelope(MessageKind::accept_message, request);
    std::swap(request.content, offer.content);
    const auto remaining = std::chrono::ceil<Millis>(offer.give_up_at - offer.called_at);
    transport_.call(offer.owner, std::move(encoded), remaining,
                    [this, id](const CallResult& result) { answered(id, result); });
}

void Accepts::answered(OfferId id, const CallResult& result) {
    Offer& offer = offers_.at(id);
    if (result.verdict == CallStatus::not_executed) {
        partitions_.suspect(offer.owner);
        return tryAgain(id, offer);
    }
    if (result.verdict == CallStatus::answered) {
        partitions_.trust(offer.owner);
        if (const auto reply = decode<AcceptMessageReply>(result.reply.body)) return judge(id, offer, *reply);
    }
    partitions_.suspect(offer.owner);
    offer.may_be_stored = true;
    // The connection broke: the owner is likely gone, and its message with it until its partition has a new
    // owner. Order can't be kept that way.
    const bool broke = scheduler_.now() < offer.give_up_at;
    if (broke && !offer.content.ordered) return tryNext(id);
    giveUp(id);
}

void Accepts::judge(OfferId id, Offer& offer, const AcceptMessageReply& reply) {
    switch (reply.status) {
        case AcceptStatus::stored:
            return stored(id, reply);
        case AcceptStatus::not_owner:
        case AcceptStatus::refused:
            return tryAgain(id, offer);
        case AcceptStatus::unknown:
            offer.may_be_stored = true;
            return giveUp(id);
    }
}

void Accepts::tryAgain(OfferId id, Offer& offer) {
    // A message of an earlier try may be stored: then only a clear "stored" helps.
    if (offer.content.ordered && offer.may_be_stored) return giveUp(id);
    tryNext(id);
}

void Accepts::waitForOwner(OfferId id, Offer& offer) {
    if (scheduler_.now() >= offer.retry_until) return giveUp(id);
    offer.wait = scheduler_.after(kOwnerCheck, [this, id] { tryNext(id); });
}

// --- Ends --------------------------------------------------------------------------------------------------

void Accepts::stored(OfferId id, const AcceptMessageReply& reply) {
    ++counters_.accepted;
    Offer& offer = offers_.at(id);
    Grant grant;
    grant.partition = offer.partition;
    grant.epoch = reply.epoch;
    grant.attempt = reply.attempt;
    grant.timeout_ms = offer.delivery_timeout.count();
    grant.content = std::move(offer.content);
    HttpResponse response;
    response.status = 202;
    const auto ref = formatMessageRef(grant.partition, grant.content.id);
    if (ref) response.headers.push_back({"Message-Ref", *ref});
    finish(id, std::move(response));
    if (!reply.granted) return;
    ++counters_.granted_with_accept;
    if (deliveries_.take(grant)) return;
    ++counters_.grants_refused;
    deliveries_.giveBack(grant);
}

void Accepts::giveUp(OfferId id) {
    if (offers_.at(id).may_be_stored) {
        ++counters_.uncertain;
        HttpResponse response;
        response.status = 504;
        return finish(id, std::move(response));
    }
    ++counters_.unavailable;
    finish(id, tryLater(offers_.at(id).retry_after));
}

void Accepts::finish(OfferId id, HttpResponse response) {
    const HttpResponder respond = std::move(offers_.at(id).respond);
    offers_.erase(id);
    respond(std::move(response));
}

}  // namespace amberswitch::cluster
