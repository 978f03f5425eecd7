#include "cluster/edge/run_reports.hpp"

#include <map>
#include <utility>

#include "cluster/common/codec.hpp"

namespace amberswitch::cluster {
namespace {

constexpr Millis kCallTimeout{500};
constexpr Millis kRetryInterval{100};
constexpr std::size_t kMaxBatchSize = 200;

}  // namespace

RunReports::RunReports(Scheduler& scheduler, Transport& transport, const PartitionMap& partitions,
                       EdgeCounters& counters, std::string edge, NodeAddress address, SendFilter may_send,
                       AcknowledgedHandler on_acknowledged)
    : scheduler_(scheduler),
      transport_(transport),
      partitions_(partitions),
      counters_(counters),
      edge_(std::move(edge)),
      address_(std::move(address)),
      may_send_(std::move(may_send)),
      on_acknowledged_(std::move(on_acknowledged)) {}

void RunReports::add(RunResult result) {
    pending_.push_back({std::move(result), scheduler_.now()});
    flush();
}

void RunReports::onView() {
    for (PendingResult& entry : pending_) entry.not_before = scheduler_.now();
    flush();
}

void RunReports::flush() {
    const SteadyTime now = scheduler_.now();
    std::map<NodeAddress, std::vector<RunResult>> batches;
    std::deque<PendingResult> kept;
    for (PendingResult& entry : pending_) {
        const StoreMember* const owner = partitions_.owner(entry.result.partition);
        const bool can_send = owner && entry.not_before <= now && may_send_(entry.result) &&
                              !busy_owners_.contains(owner->member.address);
        if (!can_send || batches[owner->member.address].size() >= kMaxBatchSize) {
            kept.push_back(std::move(entry));
            continue;
        }
        batches[owner->member.address].push_back(std::move(entry.result));
    }
    pending_ = std::move(kept);
    for (auto& [owner, batch] : batches) send(owner, std::move(batch));
    armRetry();
}

void RunReports::send(const NodeAddress& owner, std::vector<RunResult> batch) {
    busy_owners_.insert(owner);
    in_flight_ += batch.size();
    ++counters_.report_calls;
    RunReport report{edge_, address_, std::move(batch)};
    Envelope request = envelope(MessageKind::run_report, report);
    transport_.call(owner, std::move(request), kCallTimeout,
                    [this, owner, sent = std::move(report.results)](const CallResult& result) mutable {
                        onReply(owner, std::move(sent), result);
                    });
}

void RunReports::onReply(const NodeAddress& owner, std::vector<RunResult> batch, const CallResult& result) {
    busy_owners_.erase(owner);
    in_flight_ -= batch.size();
    std::optional<RunReportReply> reply;
    if (result.verdict == CallStatus::answered) reply = decode<RunReportReply>(result.reply.body);
    std::vector<RunResult> acknowledged;
    for (std::size_t i = 0; i < batch.size(); ++i) {
        if (reply && i < reply->accepted.size() && reply->accepted[i]) {
            acknowledged.push_back(std::move(batch[i]));
            continue;
        }
        ++counters_.results_retried;
        pending_.push_back({std::move(batch[i]), scheduler_.now() + kRetryInterval});
    }
    counters_.results_taken += acknowledged.size();
    for (const RunResult& each : acknowledged) on_acknowledged_(each);
    flush();
}

void RunReports::armRetry() {
    // Results for an owner with an open call are sent when that call ends; only failed ones need the timer.
    if (pending_.empty()) {
        retry_timer_.reset();
    } else if (!retry_timer_) {
        retry_timer_ = scheduler_.after(kRetryInterval, [this] {
            retry_timer_.reset();
            flush();
        });
    }
}

}  // namespace amberswitch::cluster
