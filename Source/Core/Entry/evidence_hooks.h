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
// adopted task, whose wait is not known here.
struct ObservedRun {
  WorkerName worker;
  MonotonicTime latest_start;
  Milliseconds start_within{0};  // from its arrival to `latest_start`
  MonotonicTime sent;
};

// One call for each place at which the services observe something. Without a
// sink in the context they do nothing.

// A request to the instance at `address` that was sent at `sent` ended now.
void ObserveExchange(const EntryContext& context,
                     const MemberTable& members,
                     const std::string& address,
                     MonotonicTime sent,
                     bool answered);
// A request of the instance arrived.
void ObserveArrival(const EntryContext& context,
                    const EntryName& sender,
                    const ZoneName& zone);
// `incarnation` is that of the reply; `worker` still holds the previous one.
void ObserveWorkerReply(const EntryContext& context,
                        const WorkerInfo& worker,
                        const std::string& incarnation);
void ObserveWorkerFailure(const EntryContext& context,
                          const WorkerInfo& worker);
// A task ended at a worker.
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
