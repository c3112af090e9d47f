#ifndef SOURCE_CORE_SITE_JOB_SERVICE_H_
#define SOURCE_CORE_SITE_JOB_SERVICE_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "Core/Common/boot_clock.h"
#include "Core/Common/identifiers.h"
#include "Core/Common/time.h"
#include "Core/Jobs/job_spec.h"
#include "Core/Site/job_answer.h"
#include "Core/Site/operator_state.h"

namespace daisyroad {

class EventLoop;
class Leadership;
class PoolLead;
class RevisionStore;
class RpcClient;

// A caller's request to a queue.
struct CallerRequest {
  QueueName queue;
  JobId job;  // empty: the queue as a whole
  std::optional<std::string> key;
  MonotonicTime deadline;
};

// Answers callers at any entry instance: stores the jobs that they submit and
// cancel, and asks the scheduler of the pool, or the store, for the rest.
class JobService {
 public:
  using Callback = std::function<void(JobAnswer)>;
  using LeadLookup = std::function<PoolLead*(const PoolName&)>;

  // All must outlive this object. `find_lead` gives the scheduler of a pool if
  // it runs in this process.
  JobService(RevisionStore* store,
             EventLoop* loop,
             RpcClient* peers,
             const Leadership* leadership,
             LeadLookup find_lead,
             Milliseconds key_withdrawal);

  // `confirmed_at` is when the reading was asked for that gave the state.
  void SetOperatorState(const OperatorState& state,
                        BootClock::time_point confirmed_at);
  // Whether the declaration is recent enough to accept keys.
  bool IsFresh() const;
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
  // `is_first`: no earlier write of this request can take effect.
  void CommitJob(const AcceptedJob& job,
                 MonotonicTime deadline,
                 bool is_first,
                 const Callback& callback);
  void StatusFromStore(const PoolName& pool,
                       const JobId& job,
                       const Callback& callback);
  void StatusOfAccepted(const PoolName& pool,
                        const JobId& job,
                        const Callback& callback);
  void WriteCancel(const PoolName& pool,
                   const JobId& job,
                   MonotonicTime deadline,
                   const Callback& callback);

  RevisionStore* store;
  EventLoop* loop;
  RpcClient* peers;
  const Leadership* leadership;
  LeadLookup find_lead;
  Milliseconds key_withdrawal;
  OperatorState operators;
  BootClock::time_point confirmed_at;
};

// Duty of scheduling a pool.
std::string PoolDuty(const PoolName& pool);

}  // namespace daisyroad

#endif  // SOURCE_CORE_SITE_JOB_SERVICE_H_
