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

// The tasks whose registrar is this instance, and access to those of others.
class TaskService {
 public:
  // A task as JSON, or the problem that refused it.
  using Callback = std::function<void(const Result<Json::Value>& task)>;

  TaskService(EntryContext* context,
              PeerService* peers,
              ControlService* control,
              DispatchService* dispatch,
              WorkerDirectory* directory,
              ClaimService* claims);

  void Start();

  // False if a submission was refused before the registrar of its key was
  // asked, or by one that does not yet know the earlier claims.
  static bool IsFromRegistrar(const Error& error);

  // Registers a task here or at the registrar of its key, and answers when it
  // ended or `wait` has passed.
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
  // State of the inquiry about a task whose dispatcher was lost.
  static constexpr Milliseconds kFirstRemotePoll{5};
  static constexpr Milliseconds kRpcTimeout{1000};
  // Time for which a dispatcher may start a task after a renewal was sent, plus
  // a margin for the time the message was under way.
  static constexpr Milliseconds kGrant{3500};
  // A claim that cannot be written within this time is refused, so that the
  // caller can try again while its own patience lasts. It covers the 5 s after
  // which the keys of a silent instance are taken over.
  static constexpr Milliseconds kClaimPatience{9000};
  static constexpr Milliseconds kClaimPause{50};
  static constexpr char kRouteStep[] = "task.route";

  struct Inquiry {
    std::set<WorkerName> pending;
    std::set<WorkerName> silent;
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
  // The claim log of an earlier registrar holds the key.
  void RecoverClaimed(const TaskId& id, const TaskId& earlier);
  void AdoptEarlier(const TaskId& id, const Json::Value& earlier);
  void Dispatch(const TaskId& id, const std::optional<WorkerName>& running_on);
  void OnSent(const TaskId& id, const EntryName& owner, const Status& status);
  std::optional<ZoneName> ChooseZone(const TaskRecord& record);
  // Sends an accepted task again when the retry budget permits it.
  void Redispatch(TaskRecord* record);
  void RefusedByCell(TaskRecord* record, const Error& error);
  void Renew();
  void OnStates(
      const EntryName& owner,
      const Result<std::map<TaskId, std::optional<DispatchState>>>& states);
  void Recover(TaskRecord* record);
  // Id under which workers know the task.
  TaskId WorkerTaskId(const TaskRecord& record) const;
  void AskWorkers(const TaskId& id);
  void OnWorkerAsked(const TaskId& id,
                     const WorkerName& worker,
                     const Result<TaskReport>& report);
  // True if the report of one worker decides the fate of the task.
  bool Settles(TaskRecord* record,
               const WorkerName& worker,
               const TaskReport& report);
  void TakeAnswer(TaskRecord* record,
                  const WorkerName& worker,
                  const TaskReport& report);
  void ConcludeInquiry(const TaskId& id);
  void Finish(TaskRecord* record,
              DispatchState state,
              const std::string& reason);
  void NotifyWaiters(TaskRecord* record);
  void WaitHere(const TaskId& id, Milliseconds wait, Callback callback);
  void WaitRemote(const std::string& address,
                  const TaskId& id,
                  MonotonicTime until,
                  Callback callback,
                  Milliseconds pause = kFirstRemotePoll);
  // Asks the live instances one by one: the registrar has ended, and another
  // one may have recovered the task.
  void LookupAnywhere(const TaskId& id,
                      const std::vector<std::string>& addresses,
                      MonotonicTime until,
                      const Callback& callback);
  TaskRecord* Find(const TaskId& id);
  void Forget();

  EntryContext* context;
  PeerService* peers;
  ControlService* control;
  DispatchService* dispatch;
  WorkerDirectory* directory;
  ClaimService* claims;
  ZoneRouter router;
  RetryBudget retries;
  std::map<TaskId, TaskRecord> records;
  std::map<std::string, TaskId> by_key;
  std::map<TaskId, TaskId> by_earlier;  // identifier at an earlier registrar
  std::map<TaskId, Inquiry> inquiries;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_ENTRY_TASK_SERVICE_H_
