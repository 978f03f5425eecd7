// Implements FakeEdge, the simulated edge of store_world.hpp, and the simulated servers that it delivers to.
#pragma once

#include "tests/cluster/store_world.hpp"

namespace amberswitch::cluster::simulation {

inline FakeEdge::FakeEdge(StoreWorld& play, int index)
    : stores_(play),
      name_("edge-" + std::to_string(index)),
      zone_("zone-" + std::to_string(index % 3)),
      address_{"10.2.0." + std::to_string(index + 1), 7001} {
    restart();
}

inline void FakeEdge::restart() {
    incarnation_ = ++stores_.last_incarnation;
    process_ = std::make_unique<Process>();
    process_->scheduler = std::make_unique<SimulatedScheduler>(stores_.world);
    process_->transport = std::make_unique<MemoryTransport>(stores_.world, stores_.network, address_);
    process_->transport->serve(
        [this](const Envelope& request, Responder respond) { serve(request, respond); });
    view_ = stores_.view;
    sync();
}

inline void FakeEdge::kill() {
    if (!process_) return;
    process_->scheduler->kill();
    process_->timers.clear();
    process_->sync_timer.reset();
    process_->transport.reset();
    process_.reset();
    running_.clear();
}

inline std::optional<NodeAddress> FakeEdge::ownerOf(PartitionId partition) const {
    if (!view_ || view_->partitions[partition].owner < 0) return std::nullopt;
    return view_->stores[static_cast<std::size_t>(view_->partitions[partition].owner)].member.address;
}

inline void FakeEdge::onView(std::shared_ptr<const StoreView> view) {
    if (view_ && view->epoch <= view_->epoch) return;
    view_ = std::move(view);
    heartbeats_ = 0;
    sync();
}

inline void FakeEdge::sync() {
    process_->sync_timer = process_->scheduler->after(Millis(1000), [this] { sync(); });
    if (!view_) return;
    const bool is_idle = stores_.options.far_edges && heartbeats_++ % kRemoteIdleHeartbeatFactor != 0;
    for (const StoreMember& store : view_->stores) {
        const bool skips_sync = is_idle && !leaving && !runsFor(store.member.address);
        if (store.alive && !skips_sync) syncTo(store.member.address);
    }
}

inline bool FakeEdge::runsFor(const NodeAddress& store) const {
    return std::any_of(running_.begin(), running_.end(),
                       [&](const auto& entry) { return ownerOf(entry.second.partition) == store; });
}

inline void FakeEdge::syncTo(const NodeAddress& store) {
    EdgeSync message{name_, zone_, address_, incarnation_, view_->epoch, leaving, {}, 0};
    message.next_sync_within_ms =
        (stores_.options.far_edges ? kRemoteIdleHeartbeatFactor * kEdgeHeartbeatInterval
                                   : kEdgeHeartbeatInterval)
            .count();
    for (const auto& [name, attempt] : running_) message.running.push_back(attempt);
    process_->transport->call(store, envelope(MessageKind::edge_sync, message), Millis(500),
                              [](CallResult) {});
}

inline PartitionId FakeEdge::partitionFor(const MessageContent& content) const {
    const auto partitions = static_cast<PartitionId>(stores_.options.partitions);
    if (content.hasOrderKey()) return partitionOfOrderKey(content.order_key, partitions);
    return static_cast<PartitionId>(stores_.world.chance() * partitions);
}

inline void FakeEdge::submit(MessageContent content, std::uint32_t max_failures, bool always_fails,
                             bool always_rejected, std::optional<PartitionId> chosen) {
    const PartitionId partition = chosen ? *chosen : partitionFor(content);
    Ledger::Message& message = stores_.ledger.messages[content.id];
    message.content = content;
    message.partition = partition;
    message.sent = stores_.world.now();
    message.max_failures = max_failures;
    message.always_fails = always_fails;
    message.always_rejected = always_rejected;
    const auto owner = ownerOf(partition);
    if (!owner) return;
    AcceptMessageRequest request;
    request.edge = name_;
    request.edge_address = address_;
    request.partition = partition;
    request.epoch = view_->epoch;
    request.content = content;
    request.retention_ms = 90000;
    request.max_failures = max_failures;
    request.timeout_ms = 1000;
    request.wants_grant = wants_grants;
    process_->transport->call(*owner, envelope(MessageKind::accept_message, request), Millis(2000),
                              [this, content, partition](const CallResult& result) {
                                  last_status = AcceptStatus::unknown;
                                  if (result.verdict != CallStatus::answered) return;
                                  const auto reply = decode<AcceptMessageReply>(result.reply.body);
                                  last_status = reply->status;
                                  if (reply->status == AcceptStatus::stored) {
                                      stores_.ledger.messages[content.id].accepted = stores_.world.now();
                                      if (stores_.on_accepted) stores_.on_accepted(partition);
                                  }
                                  if (!reply->granted) return;
                                  Grant grant;
                                  grant.content = content;
                                  grant.partition = partition;
                                  grant.epoch = reply->epoch;
                                  grant.attempt = reply->attempt;
                                  run(grant);
                              });
}

inline void FakeEdge::serve(const Envelope& request, Responder respond) {
    if (static_cast<MessageKind>(request.kind) != MessageKind::grant_push) return;
    const auto push = decode<GrantPush>(request.body);
    GrantPushReply answer;
    answer.edge_restarted = push->edge_incarnation != 0 && push->edge_incarnation != incarnation_;
    const bool takes = !leaving && !answer.edge_restarted;
    for (const Grant& grant : push->grants) {
        answer.accepted.push_back(takes);
        if (!takes) continue;
        if (grant.callback) {
            runCallback(grant);
        } else {
            run(grant);
        }
    }
    respond(reply(answer));
}

inline void FakeEdge::run(const Grant& grant) {
    running_[{grant.content.id, grant.epoch, grant.attempt}] = {grant.partition, grant.content.id,
                                                                grant.attempt, grant.epoch, false};
    Ledger::Message& message = stores_.ledger.messages[grant.content.id];
    if (grant.content.body != message.content.body)
        stores_.ledger.faults.push_back("body of " + grant.content.id);
    if (down_services.contains(grant.content.service)) {
        later(Millis(5), [this, grant] { finish(grant, RunOutcome::not_run, {}, true); });
        return;
    }
    stores_.ledger.arrivals[grant.content.service].push_back(stores_.world.now());
    if (stores_.on_run) stores_.on_run(grant);
    ++message.runs;
    if (message.success_read) ++message.runs_after_read_success;
    if (message.end_read) message.late_runs.push_back(stores_.world.now());
    if (message.content.ordered) {
        for (const auto& [id, other] : stores_.ledger.messages) {
            const bool same_line = other.content.order_key == message.content.order_key;
            if (!same_line || id == grant.content.id || !other.accepted || other.ended) continue;
            if (*other.accepted < message.sent) {
                stores_.ledger.faults.push_back("order: " + grant.content.id + " began before the end of " +
                                                id);
            }
        }
    }
    const auto span = run_time + Millis(static_cast<std::int64_t>(stores_.world.chance() * 60));
    later(span, [this, grant] {
        Ledger::Message& run = stores_.ledger.messages[grant.content.id];
        const bool lost = stores_.world.chance() < stores_.options.lost_answers;
        const SteadyTime now = stores_.world.now();
        if (run.always_rejected) {
            run.rejected = true;
            if (!run.ended) run.ended = now;
            if (!lost) run.end_read = true;
            return finish(grant, lost ? RunOutcome::unknown : RunOutcome::rejected, {});
        }
        if (run.always_fails || stores_.world.chance() < stores_.options.failures) {
            if (lost) return finish(grant, RunOutcome::unknown, {});
            if (++run.failures >= run.max_failures && !run.ended) run.ended = now;
            return finish(grant, RunOutcome::failed, {});
        }
        const std::string stamp = "s-" + grant.content.id + "-" + std::to_string(run.runs);
        run.stamps.insert(stamp);
        if (!run.ended) run.ended = now;
        if (!lost) run.success_read = run.end_read = true;
        finish(grant, lost ? RunOutcome::unknown : RunOutcome::completed, stamp);
    });
}

inline void FakeEdge::runCallback(const Grant& grant) {
    running_[{grant.content.id, grant.epoch, grant.attempt}] = {grant.partition, grant.content.id,
                                                                grant.attempt, grant.epoch, true};
    Ledger::Message& message = stores_.ledger.messages[grant.content.id];
    if (grant.phase == Phase::completed && !message.stamps.contains(grant.stamp)) {
        stores_.ledger.faults.push_back("call-back of " + grant.content.id + " without a stamp");
    }
    later(Millis(20), [this, grant] {
        if (stores_.world.chance() < stores_.options.failures)
            return finish(grant, RunOutcome::callback_failed, {});
        ++stores_.ledger.messages[grant.content.id].callbacks_taken;
        finish(grant, RunOutcome::callback_delivered, {});
    });
}

inline void FakeEdge::finish(const Grant& grant, RunOutcome outcome, const std::string& stamp, bool down) {
    RunResult result;
    result.partition = grant.partition;
    result.id = grant.content.id;
    result.epoch = grant.epoch;
    result.attempt = grant.attempt;
    result.outcome = outcome;
    result.stamp = stamp;
    result.destination_down = down;
    report(result, 0);
    if (stores_.options.duplicate_reports) report(result, 0);
}

inline void FakeEdge::report(RunResult result, int tries) {
    const auto again = [this, result, tries] {
        if (tries < 300) later(Millis(100), [this, result, tries] { report(result, tries + 1); });
    };
    const auto owner = ownerOf(result.partition);
    if (!owner) return again();
    RunReport message{name_, address_, {result}};
    process_->transport->call(*owner, envelope(MessageKind::run_report, message), Millis(500),
                              [this, result, again](const CallResult& call) {
                                  const auto reply = call.verdict == CallStatus::answered
                                                         ? decode<RunReportReply>(call.reply.body)
                                                         : std::nullopt;
                                  if (!reply || !reply->accepted.at(0)) return again();
                                  running_.erase({result.id, result.epoch, result.attempt});
                              });
}

inline std::optional<StateReply> FakeEdge::query(MessageKind kind, PartitionId partition,
                                                 const MessageId& id) {
    std::optional<StateReply> found;
    for (int tries = 0; tries < 20 && !(found && found->status != QueryStatus::not_owner); ++tries) {
        bool done = false;
        const auto owner = ownerOf(partition);
        if (!owner) return std::nullopt;
        process_->transport->call(*owner, envelope(kind, StateQuery{partition, id}), Millis(300),
                                  [&found, &done](const CallResult& result) {
                                      if (result.verdict == CallStatus::answered) {
                                          found = decode<StateReply>(result.reply.body);
                                      }
                                      done = true;
                                  });
        stores_.world.runUntil([&done] { return done; }, Millis(400));
    }
    return found;
}

}  // namespace amberswitch::cluster::simulation
