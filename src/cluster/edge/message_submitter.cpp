#include "cluster/edge/message_submitter.hpp"

#include <algorithm>
#include <utility>

#include "cluster/common/codec.hpp"
#include "cluster/common/order_key.hpp"
#include "cluster/edge/message_ref.hpp"

namespace amberswitch::cluster {
namespace {

constexpr Millis kMinAcceptTimeout{150};
constexpr Millis kMaxAcceptTimeout{1000};
constexpr double kAcceptTimeoutPerTargetLatency = 2.5;  // multiple of the route's target latency
constexpr int kMaxTries = 3;
// The longest wait for an owner is the route's target latency divided by this.
constexpr int kOwnerWaitDivisor = 4;
constexpr Millis kOwnerCheckInterval{10};
constexpr Millis kMinRetryAfter{100};
constexpr Millis kMaxRetryAfter{400};
// Retry-After is the client's deadline divided by this, so that a few attempts fit into the deadline.
constexpr int kRetryAfterDivisor = 3;

}  // namespace

HttpResponse serviceUnavailable(Millis retry_after) {
    constexpr int kMillisPerSecond = 1000;
    constexpr int kFractionDigits = 3;
    std::string digits = std::to_string(retry_after.count() % kMillisPerSecond);
    digits.insert(0, kFractionDigits - digits.size(), '0');
    HttpResponse response;
    response.status = 503;
    response.headers.push_back(
        {"Retry-After", std::to_string(retry_after.count() / kMillisPerSecond) + "." + digits});
    return response;
}

MessageSubmitter::MessageSubmitter(Scheduler& scheduler, Transport& transport, PartitionMap& partitions,
                                   Deliveries& deliveries, EdgeCounters& counters, EdgeIdentity self)
    : scheduler_(scheduler),
      transport_(transport),
      partitions_(partitions),
      deliveries_(deliveries),
      counters_(counters),
      self_(std::move(self)),
      random_(self_.incarnation) {}

void MessageSubmitter::submit(MessageContent content, const Route& route, std::optional<Millis> deadline,
                              HttpResponder respond) {
    const SubmissionId id = ++last_id_;
    Submission& submission = submissions_[id];
    submission.content = std::move(content);
    submission.retention = route.retention;
    submission.max_failures = route.max_retries;
    submission.delivery_timeout = route.timeout;
    submission.respond = std::move(respond);
    const Millis accept_timeout =
        std::clamp(std::chrono::duration_cast<Millis>(kAcceptTimeoutPerTargetLatency * route.target_latency),
                   kMinAcceptTimeout, kMaxAcceptTimeout);
    submission.reply_deadline =
        scheduler_.now() + std::min(accept_timeout, deadline.value_or(accept_timeout));
    if (deadline)
        submission.retry_after =
            std::clamp<Millis>(*deadline / kRetryAfterDivisor, kMinRetryAfter, kMaxRetryAfter);
    submission.owner_wait_deadline = scheduler_.now() + route.target_latency / kOwnerWaitDivisor;
    tryNextOwner(id);
}

// --- Attempts at owners -----------------------------------------------------------------------------------

void MessageSubmitter::tryNextOwner(SubmissionId id) {
    Submission& submission = submissions_.at(id);
    if (submission.tries >= kMaxTries || scheduler_.now() >= submission.reply_deadline) return giveUp(id);
    if (!choosePartition(submission)) {
        const bool all_owners_tried = !submission.content.hasOrderKey() && submission.tries > 0;
        return all_owners_tried ? giveUp(id) : waitForOwner(id, submission);
    }
    callOwner(id, submission, *partitions_.owner(submission.partition));
}

// Returns false if the current view has no owner to ask.
bool MessageSubmitter::choosePartition(Submission& submission) {
    if (partitions_.partitionCount() == 0) return false;
    if (!submission.content.hasOrderKey()) {
        const auto partition = partitions_.pickPartition(random_, submission.tried);
        if (partition) submission.partition = *partition;
        return partition.has_value();
    }
    submission.partition = partitionOfOrderKey(submission.content.order_key, partitions_.partitionCount());
    const StoreMember* const owner = partitions_.owner(submission.partition);
    if (!owner || partitions_.isSuspected(owner->member.address)) return false;
    return submission.epoch == 0 || owner->member.address != submission.owner;
}

void MessageSubmitter::callOwner(SubmissionId id, Submission& submission, const StoreMember& owner) {
    if (submission.tries++ > 0) ++counters_.accept_retries;
    submission.owner = owner.member.address;
    submission.epoch = partitions_.epoch();
    submission.tried.insert(submission.owner);
    submission.called_at = scheduler_.now();
    AcceptMessageRequest request;
    request.edge = self_.name;
    request.edge_address = self_.address;
    request.partition = submission.partition;
    request.epoch = submission.epoch;
    request.retention_ms = submission.retention.count();
    request.max_failures = submission.max_failures;
    request.timeout_ms = submission.delivery_timeout.count();
    request.wants_grant =
        submission.content.delay_ms == 0 && deliveries_.wantsGrantFor(submission.content.service);
    std::swap(request.content, submission.content);  // avoids a copy of the body
    Envelope encoded = envelope(MessageKind::accept_message, request);
    std::swap(request.content, submission.content);
    const auto remaining = std::chrono::ceil<Millis>(submission.reply_deadline - submission.called_at);
    transport_.call(submission.owner, std::move(encoded), remaining,
                    [this, id](const CallResult& result) { onCallResult(id, result); });
}

void MessageSubmitter::onCallResult(SubmissionId id, const CallResult& result) {
    Submission& submission = submissions_.at(id);
    if (result.verdict == CallStatus::not_executed) {
        partitions_.suspect(submission.owner);
        return retry(id, submission);
    }
    if (result.verdict == CallStatus::answered) {
        partitions_.clearSuspicion(submission.owner);
        if (const auto reply = decode<AcceptMessageReply>(result.reply.body))
            return onReply(id, submission, *reply);
    }
    partitions_.suspect(submission.owner);
    submission.may_be_stored = true;
    // If the connection broke, the owner has probably died, and its copy of the message is out of reach until
    // the partition has a new owner. A message without an order key goes to another owner; one with a key
    // belongs to the partition of its key.
    const bool connection_lost = scheduler_.now() < submission.reply_deadline;
    if (connection_lost && !submission.content.hasOrderKey()) return tryNextOwner(id);
    giveUp(id);
}

void MessageSubmitter::onReply(SubmissionId id, Submission& submission, const AcceptMessageReply& reply) {
    switch (reply.status) {
        case AcceptStatus::stored:
            return onStored(id, reply);
        case AcceptStatus::not_owner:
        case AcceptStatus::refused:
            return retry(id, submission);
        case AcceptStatus::unknown:
            submission.may_be_stored = true;
            return giveUp(id);
    }
}

void MessageSubmitter::retry(SubmissionId id, Submission& submission) {
    // An earlier attempt may have stored the message; after that only a confirmation by the owner counts.
    if (submission.content.hasOrderKey() && submission.may_be_stored) return giveUp(id);
    tryNextOwner(id);
}

void MessageSubmitter::waitForOwner(SubmissionId id, Submission& submission) {
    if (scheduler_.now() >= submission.owner_wait_deadline) return giveUp(id);
    submission.owner_wait_timer = scheduler_.after(kOwnerCheckInterval, [this, id] { tryNextOwner(id); });
}

// --- Responses --------------------------------------------------------------------------------------------

void MessageSubmitter::onStored(SubmissionId id, const AcceptMessageReply& reply) {
    ++counters_.accepted;
    Submission& submission = submissions_.at(id);
    Grant grant;
    grant.partition = submission.partition;
    grant.epoch = reply.epoch;
    grant.attempt = reply.attempt;
    grant.timeout_ms = submission.delivery_timeout.count();
    grant.content = std::move(submission.content);
    HttpResponse response;
    response.status = 202;
    const auto ref = formatMessageRef(grant.partition, grant.content.id);
    if (ref) response.headers.push_back({"Message-Ref", *ref});
    finish(id, std::move(response));
    if (!reply.granted) return;
    ++counters_.granted_with_accept;
    if (deliveries_.acceptGrant(grant)) return;
    ++counters_.grants_refused;
    deliveries_.returnGrant(grant);
}

void MessageSubmitter::giveUp(SubmissionId id) {
    if (submissions_.at(id).may_be_stored) {
        ++counters_.uncertain;
        HttpResponse response;
        response.status = 504;
        return finish(id, std::move(response));
    }
    ++counters_.unavailable;
    finish(id, serviceUnavailable(submissions_.at(id).retry_after));
}

void MessageSubmitter::finish(SubmissionId id, HttpResponse response) {
    const HttpResponder respond = std::move(submissions_.at(id).respond);
    submissions_.erase(id);
    respond(std::move(response));
}

}  // namespace amberswitch::cluster
