#ifndef SOURCE_CORE_SITE_JOB_SERVICE_H_
#define SOURCE_CORE_SITE_JOB_SERVICE_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "Core/Common/boot_clock.h"
#include "Core/Common/identifiers.h"
#include "Core/Common/time.h"
#include "Core/Jobs/job_spec.h"
#include "Core/Site/job_answer.h"
#include "Core/Site/operator_state.h"

namespace daisyroad {

class EventLoop;
class Leadership;
class PoolLeader;
class RevisionStore;
class RpcClient;

// A caller's request to a queue.
struct CallerRequest {
  QueueName queue;
  JobId job;  // empty if the request concerns the whole queue
  std::optional<std::string> key;
  MonotonicTime deadline;
};

// Serves callers on any entry instance: records submissions and cancellations
// in the store, and answers queries from the scheduler of the pool or from the
// store.
class JobService {
 public:
  using Callback = std::function<void(JobAnswer)>;
  using LeaderLookup = std::function<PoolLeader*(const PoolName&)>;

  // All pointers must outlive this object. `find_leader` returns the scheduler
  // of a pool, or null if another process runs it. `max_record_bytes` is the
  // largest value that the store takes.
  JobService(RevisionStore* store,
             EventLoop* loop,
             RpcClient* peers,
             const Leadership* leadership,
             LeaderLookup find_leader,
             Milliseconds key_withdrawal,
             std::size_t max_record_bytes);

  // `confirmed_at` is the time at which the read that returned the state was
  // requested.
  void SetOperatorState(const OperatorState& state,
                        BootClock::time_point confirmed_at);
  // Whether the declaration is recent enough to authenticate keys against it.
  bool AreKeysFresh() const;
  bool HasConfig() const;

  void Submit(const CallerRequest& request,
              JobSpec spec,
              const Callback& callback);
  void Cancel(const CallerRequest& request, const Callback& callback);
  void AskStatus(const CallerRequest& request, const Callback& callback);
  void AskPending(const CallerRequest& request, const Callback& callback);

 private:
  struct Admission {
    std::optional<JobAnswer> refusal;
    QueueConfig queue;
    TeamName team;
  };

  Admission Admit(const CallerRequest& request) const;
  void LogRefusal(std::string_view decision,
                  const CallerRequest& request,
                  const JobAnswer& refusal) const;
  // `is_first`: this is the first attempt, so no earlier write of this request
  // can still take effect.
  void CommitJob(const AcceptedJob& job,
                 MonotonicTime deadline,
                 bool is_first,
                 const Callback& callback);
  // Answers with JobUnknown if the pool does not have the job.
  void AskPoolStatus(const PoolName& pool,
                     const JobId& job,
                     MonotonicTime deadline,
                     const Callback& callback);
  // Looks for a job that the pool of its queue does not have, and passes the
  // pool that has it to `on_found`. Otherwise answers `callback`.
  void FindMovedJob(std::string_view decision,
                    const PoolName& queue_pool,
                    const JobId& job,
                    MonotonicTime deadline,
                    const std::function<void(const PoolName&)>& on_found,
                    const Callback& callback);
  void ReadProgressStatus(const PoolName& pool,
                          const JobId& job,
                          MonotonicTime deadline,
                          const Callback& callback);
  void ReadAcceptedStatus(const PoolName& pool,
                          const JobId& job,
                          MonotonicTime deadline,
                          const Callback& callback);
  void WriteCancel(const PoolName& pool,
                   const JobId& job,
                   MonotonicTime deadline,
                   const Callback& callback);

  RevisionStore* store;
  EventLoop* loop;
  RpcClient* peers;
  const Leadership* leadership;
  LeaderLookup find_leader;
  Milliseconds key_withdrawal;
  std::size_t max_record_bytes;
  OperatorState operators;
  BootClock::time_point confirmed_at;
};

// Name of the duty of scheduling a pool.
std::string PoolDuty(const PoolName& pool);

}  // namespace daisyroad

#endif  // SOURCE_CORE_SITE_JOB_SERVICE_H_
