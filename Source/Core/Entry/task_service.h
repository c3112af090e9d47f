#ifndef SOURCE_CORE_ENTRY_TASK_SERVICE_H_
#define SOURCE_CORE_ENTRY_TASK_SERVICE_H_

#include <json/value.h>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Core/Common/identifiers.h"
#include "Core/Common/result.h"
#include "Core/Entry/task_record.h"
#include "Core/Entry/zone_router.h"
#include "Core/Routing/retry_budget.h"

namespace daisyroad {

struct EntryContext;
struct WorkerInfo;
class ClaimService;
class ControlService;
class DispatchService;
class PeerService;
class WorkerDirectory;

// Manages the tasks whose registrar is this instance, and forwards requests for
// other tasks to their registrars.
class TaskService {
 public:
  // Receives the task as JSON, or the error for which it was refused.
  using Callback = std::function<void(const Result<Json::Value>& task)>;

  TaskService(EntryContext* context,
              PeerService* peers,
              ControlService* control,
              DispatchService* dispatch,
              WorkerDirectory* directory,
              ClaimService* claims);

  void Start();

  // False if a submission was refused before it reached the registrar of its
  // key, or by a registrar that has not yet read the earlier claims.
  static bool IsFromRegistrar(const Error& error);

  // Registers a task here or at the registrar of its key. Calls back when the
  // task has ended or `wait` has passed.
  void Submit(const TaskSubmission& submission,
              Milliseconds wait,
              const Callback& callback);
  // kNotFound if no instance knows the task; kUnavailable if its registrar
  // cannot be reached.
  void Lookup(const TaskId& id, Milliseconds wait, Callback callback);
  void Cancel(const TaskId& id, Callback callback);

  // RPC methods `task.submit`, `task.lookup`, `task.cancel`, `task.update`.
  Json::Value ServeSubmit(const Json::Value& params);
  Json::Value ServeLookup(const Json::Value& params);
  Json::Value ServeCancel(const Json::Value& params);
  Json::Value ServeUpdate(const Json::Value& params);

  void OnUpdate(const DispatchUpdate& update);
  std::size_t open_tasks() const;

 private:
  static constexpr Milliseconds kMinPollInterval{5};
  static constexpr Milliseconds kRpcTimeout{1000};
  // Time for which a dispatcher may start a task after a renewal was sent, plus
  // a margin for the transit time of the message.
  static constexpr Milliseconds kGrantDuration{3500};
  // A claim that cannot be written within this time is refused, so that the
  // caller can retry before its own timeout. Longer than the 5 s after which
  // other instances take over the keys of a silent instance.
  static constexpr Milliseconds kClaimTimeout{9000};
  static constexpr Milliseconds kClaimRetryInterval{50};
  static constexpr char kRouteStep[] = "task.route";

  // Queries to workers about a task whose dispatcher or registrar was lost.
  struct Inquiry {
    std::set<WorkerName> pending;
    // Workers without a conclusive reply.
    std::set<WorkerName> inconclusive;
  };

  void SubmitUntil(const TaskSubmission& submission,
                   MonotonicTime retry_until,
                   MonotonicTime wait_until,
                   const Callback& callback);
  Result<TaskRecord*> Register(const TaskSubmission& submission);
  EntryName RegistrarOf(const TaskSubmission& submission) const;
  void Claim(const TaskId& id);
  void OnClaim(const TaskId& id, bool ready);
  void RefuseClaim(const TaskId& id, const Error& error);
  // Recovers the outcome of a task whose key is in the claim log of an earlier
  // registrar.
  void RecoverClaimed(const TaskId& id, const TaskId& earlier_id);
  void AdoptEarlier(const TaskId& id, const Json::Value& earlier);
  void Dispatch(const TaskId& id, const std::optional<WorkerName>& running_on);
  void OnSent(const TaskId& id, const EntryName& owner, const Status& status);
  std::optional<ZoneName> ChooseZone(const TaskRecord& record);
  // Sends an accepted task again as soon as the retry budget permits.
  void Redispatch(TaskRecord* record);
  void OnDispatchRefused(TaskRecord* record, const Error& error);
  void Renew();
  void OnStates(
      const EntryName& owner,
      const Result<std::map<TaskId, std::optional<DispatchState>>>& states);
  void Recover(TaskRecord* record);
  // Identifier under which workers know the task.
  TaskId WorkerTaskId(const TaskRecord& record) const;
  void QueryWorkers(const TaskId& id);
  void OnWorkerReport(const TaskId& id,
                      const WorkerName& worker,
                      const Result<TaskReport>& report);
  // True if the report of one worker is enough to end the inquiry.
  bool EndsInquiry(TaskRecord* record,
                   const WorkerName& worker,
                   const TaskReport& report);
  void FinishWithReport(TaskRecord* record,
                        const WorkerName& worker,
                        const TaskReport& report);
  void ConcludeInquiry(const TaskId& id);
  void Finish(TaskRecord* record,
              DispatchState state,
              const std::string& reason);
  void NotifyWaiters(TaskRecord* record);
  void WaitLocal(const TaskId& id, Milliseconds wait, Callback callback);
  void WaitRemote(const std::string& address,
                  const TaskId& id,
                  MonotonicTime until,
                  Callback callback,
                  Milliseconds pause = kMinPollInterval);
  // Queries the live instances one by one: the registrar has ended, but another
  // instance may have recovered the task.
  void LookupAtPeers(const TaskId& id,
                     const std::vector<std::string>& addresses,
                     MonotonicTime until,
                     const Callback& callback);
  TaskRecord* Find(const TaskId& id);
  void RemoveExpired();

  EntryContext* context;
  PeerService* peers;
  ControlService* control;
  DispatchService* dispatch;
  WorkerDirectory* directory;
  ClaimService* claims;
  ZoneRouter router;
  RetryBudget retries;
  std::map<TaskId, TaskRecord> records;
  std::map<std::string, TaskId> ids_by_key;
  // By the identifier at an earlier registrar.
  std::map<TaskId, TaskId> ids_by_earlier_id;
  std::map<TaskId, Inquiry> inquiries;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_ENTRY_TASK_SERVICE_H_
