#include "cluster/edge/run_reports.hpp"

#include <map>
#include <utility>

#include "cluster/common/codec.hpp"

namespace amberswitch::cluster {
namespace {

constexpr Millis kCallTimeout{500};
constexpr Millis kRetryAfter{100};
constexpr std::size_t kLargestBatch = 200;

}  // namespace

RunReports::RunReports(Scheduler& scheduler, Transport& transport, const PartitionMap& partitions,
                       EdgeCounters& counters, std::string edge, NodeAddress address, MaySend may_send,
                       Taken taken)
    : scheduler_(scheduler),
      transport_(transport),
      partitions_(partitions),
      counters_(counters),
      edge_(std::move(edge)),
      address_(std::move(address)),
      may_send_(std::move(may_send)),
      taken_(std::move(taken)) {}

void RunReports::add(RunResult result) {
    waiting_.push_back({std::move(result), scheduler_.now()});
    flush();
}

void RunReports::onView() {
    for (Waiting& waiting : waiting_) waiting.not_before = scheduler_.now();
    flush();
}

void RunReports::flush() {
    const SteadyTime now = scheduler_.now();
    std::map<NodeAddress, std::vector<RunResult>> batches;
    std::deque<Waiting> kept;
    for (Waiting& waiting : waiting_) {
        const StoreMember* const owner = partitions_.owner(waiting.result.partition);
        const bool can_go = owner && waiting.not_before <= now && may_send_(waiting.result) &&
                            !busy_.contains(owner->member.address);
        if (!can_go || batches[owner->member.address].size() >= kLargestBatch) {
            kept.push_back(std::move(waiting));
            continue;
        }
        batches[owner->member.address].push_back(std::move(waiting.result));
    }
    waiting_ = std::move(kept);
    for (auto& [owner, batch] : batches) send(owner, std::move(batch));
    armRetry();
}

void RunReports::send(const NodeAddress& owner, std::vector<RunResult> batch) {
    busy_.insert(owner);
    in_flight_ += batch.size();
    ++counters_.report_calls;
    RunReport report{edge_, address_, std::move(batch)};
    Envelope request = envelope(MessageKind::run_report, report);
    transport_.call(owner, std::move(request), kCallTimeout,
                    [this, owner, sent = std::move(report.results)](const CallResult& result) mutable {
                        settle(owner, std::move(sent), result);
                    });
}

void RunReports::settle(const NodeAddress& owner, std::vector<RunResult> batch, const CallResult& result) {
    busy_.erase(owner);
    in_flight_ -= batch.size();
    std::optional<RunReportReply> reply;
    if (result.verdict == CallStatus::answered) reply = decode<RunReportReply>(result.reply.body);
    std::vector<RunResult> taken;
    for (std::size_t i = 0; i < batch.size(); ++i) {
        if (reply && i < reply->accepted.size() && reply->accepted[i]) {
            taken.push_back(std::move(batch[i]));
            continue;
        }
        ++counters_.results_retried;
        waiting_.push_back({std::move(batch[i]), scheduler_.now() + kRetryAfter});
    }
    counters_.results_taken += taken.size();
    for (const RunResult& each : taken) taken_(each);
    flush();
}

void RunReports::armRetry() {
    // A result whose owner is busy goes out when that call ends; only failed ones need the timer.
    if (waiting_.empty()) {
        retry_.reset();
    } else if (!retry_) {
        retry_ = scheduler_.after(kRetryAfter, [this] {
            retry_.reset();
            flush();
        });
    }
}

}  // namespace amberswitch::cluster
