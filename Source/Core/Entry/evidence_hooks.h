#ifndef SOURCE_CORE_ENTRY_EVIDENCE_HOOKS_H_
#define SOURCE_CORE_ENTRY_EVIDENCE_HOOKS_H_

#include <string>

#include "Core/Common/identifiers.h"
#include "Core/Common/time.h"

namespace daisyroad {

struct EntryContext;
struct TaskRecord;
struct TaskReport;
struct WorkerInfo;
class MemberTable;

// When a task was queued and sent to its worker. `latest_start` is unset for an
// adopted task, whose queueing time this instance does not know.
struct ObservedRun {
  WorkerName worker;
  MonotonicTime latest_start;
  Milliseconds start_within{0};  // from its arrival to `latest_start`
  MonotonicTime sent;
};

// Each function records one kind of observation. They do nothing if the context
// has no evidence sink.

// A request sent at `sent` to the instance at `address` has just ended.
void ObserveExchange(const EntryContext& context,
                     const MemberTable& members,
                     const std::string& address,
                     MonotonicTime sent,
                     bool answered);
// A request from the instance `sender` arrived.
void ObserveArrival(const EntryContext& context,
                    const EntryName& sender,
                    const ZoneName& zone);
// `incarnation` is the one in the reply; `worker` still holds the previous one.
void ObserveWorkerReply(const EntryContext& context,
                        const WorkerInfo& worker,
                        const std::string& incarnation);
void ObserveWorkerFailure(const EntryContext& context,
                          const WorkerInfo& worker);
// A task ended on a worker.
void ObserveTaskRun(const EntryContext& context,
                    const PoolName& pool,
                    const ZoneName& zone,
                    const TaskReport& report,
                    const ObservedRun& run);
void ObserveTaskEnd(const EntryContext& context, const TaskRecord& record);
void ObserveLimitReached(const EntryContext& context,
                         const TeamName& team,
                         const QueueName& queue,
                         const ZoneName& zone);
void ObserveStore(const EntryContext& context,
                  MonotonicTime sent,
                  bool answered);

}  // namespace daisyroad

#endif  // SOURCE_CORE_ENTRY_EVIDENCE_HOOKS_H_
