#include "Core/Entry/evidence_hooks.h"

#include <utility>

#include "Core/Diagnosis/evidence_sink.h"
#include "Core/Entry/entry_context.h"
#include "Core/Entry/task_record.h"
#include "Core/Entry/worker_directory.h"
#include "Core/Membership/gossip_protocol.h"
#include "Core/Platform/worker_messages.h"

namespace daisyroad {
namespace {

Milliseconds ToMilliseconds(Duration time) {
  return std::chrono::duration_cast<Milliseconds>(time);
}

void Record(const EntryContext& context,
            MonotonicTime at,
            ObservationDetail detail) {
  if (context.evidence != nullptr) {
    context.evidence->Record(at, std::move(detail));
  }
}

WorkerContact ContactOf(const EntryContext& context,
                        const WorkerInfo& worker,
                        bool reached) {
  return {context.self, worker.listed.name, worker.pool,
          context.zone, worker.listed.zone, reached};
}

}  // namespace

void ObserveExchange(const EntryContext& context,
                     const MemberTable& members,
                     const std::string& address,
                     MonotonicTime sent,
                     bool answered) {
  for (const std::pair<const EntryName, Member>& item : members.members()) {
    // Skips an earlier incarnation at the same address that has been removed.
    if (item.second.info.address != address ||
        item.second.info.state == MemberState::kRemoved) {
      continue;
    }
    MessageFate fate = MessageFate::kUnanswered;
    if (answered) {
      fate = Now() - sent > GossipProtocol::kProbeAfter
                 ? MessageFate::kLate
                 : MessageFate::kAnswered;
    }
    Record(context, sent,
           PeerMessage{context.self, item.first, context.zone,
                       item.second.info.zone, fate});
    return;
  }
}

void ObserveArrival(const EntryContext& context,
                    const EntryName& sender,
                    const ZoneName& zone) {
  Record(context, Now(),
         PeerMessage{context.self, sender, zone, context.zone,
                     MessageFate::kArrived});
}

void ObserveWorkerReply(const EntryContext& context,
                        const WorkerInfo& worker,
                        const std::string& incarnation) {
  if (!worker.incarnation.empty() && worker.incarnation != incarnation) {
    Record(context, Now(), WorkerRestarted{worker.listed.name, worker.pool});
  }
  Record(context, Now(), ContactOf(context, worker, true));
}

void ObserveWorkerFailure(const EntryContext& context,
                          const WorkerInfo& worker) {
  Record(context, Now(), ContactOf(context, worker, false));
}

void ObserveTaskRun(const EntryContext& context,
                    const PoolName& pool,
                    const ZoneName& zone,
                    const TaskReport& report,
                    const ObservedRun& run) {
  const bool failed = report.state == WorkerTaskState::kFailed;
  Record(context, Now(),
         WorkerResults{run.worker, pool, failed ? 0U : 1U, failed ? 1U : 0U});
  if (run.latest_start != MonotonicTime()) {
    const MonotonicTime queued = run.latest_start - run.start_within;
    Record(context, Now(),
           QueueDelay{pool, zone, ToMilliseconds(run.sent - queued),
                      report.run_time});
  }
}

void ObserveTaskEnd(const EntryContext& context, const TaskRecord& record) {
  TaskTimeline line;
  line.task = record.id;
  line.queue = record.submission.queue;
  line.worker = record.worker;
  line.queued = record.deadline - record.submission.deadline;
  line.ended = record.ended;
  line.deadline = record.submission.deadline;
  line.outcome = DispatchStateName(record.state);
  Record(context, record.ended, line);
}

void ObserveLimitReached(const EntryContext& context,
                         const TeamName& team,
                         const QueueName& queue,
                         const ZoneName& zone) {
  Record(context, Now(), Refusal{RefusalReason::kLimit, team, queue, zone});
}

void ObserveStore(const EntryContext& context,
                  MonotonicTime sent,
                  bool answered) {
  Record(context, sent,
         StoreSample{context.self, context.zone, ToMilliseconds(Now() - sent),
                     !answered});
}

}  // namespace daisyroad
