#ifndef SOURCE_CORE_JOBS_POOL_SCHEDULER_H_
#define SOURCE_CORE_JOBS_POOL_SCHEDULER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "Core/Common/identifiers.h"
#include "Core/Common/time.h"
#include "Core/Jobs/job_progress.h"
#include "Core/Jobs/job_state.h"
#include "Core/Jobs/order.h"
#include "Core/Jobs/placement_ticket.h"
#include "Core/Jobs/pool_load.h"
#include "Core/Jobs/queue_policy.h"
#include "Core/Jobs/run_report.h"
#include "Core/Jobs/scheduler_settings.h"
#include "Core/Jobs/start_outcome.h"
#include "Core/Jobs/worker_listing.h"
#include "Core/Jobs/worker_state.h"

namespace daisyroad {

// Decides what runs where in one pool. It does no I/O: events come in through
// the On...() functions, and TakeOrders() gives what is to be sent.
//
// At most one run of a task may exist, which survives changes of the
// scheduler: a run is given up only when its worker says that it ended, or
// can no longer come, or when its lease is over.
class PoolScheduler {
 public:
  // `first_run` is the number of the first run of a task that this scheduler
  // knows nothing of. `unknown_runs_over_at` is the time from which workers
  // that never answered this scheduler run nothing that an earlier one
  // started.
  PoolScheduler(const PoolName& pool,
                const SchedulerSettings& settings,
                std::int64_t first_run,
                MonotonicTime unknown_runs_over_at);

  void SetPolicies(std::map<QueueName, QueuePolicy> policies);
  void SetZonesOut(std::set<ZoneName> zones);
  // What the pool may use for each team that has an upper limit.
  void SetAllotments(std::map<TeamName, Resources> allotments);
  // False while another scheduler may have taken over. Runs on workers that do
  // not answer are not given up then: they may belong to the other one. Jobs
  // that become known then do not start: the other one takes them for its own.
  void SetSole(bool is_sole);
  // A new scheduler learns within this time which workers are to be emptied.
  void HoldStartsUntil(MonotonicTime time);
  // Workers whose machines wait for planned work, and those whose turn comes
  // later.
  void SetVacating(const std::set<WorkerName>& workers,
                   const std::set<WorkerName>& due);

  // Workers that may run what an earlier scheduler started, whether they are
  // listed now or not.
  void ExpectRunsOn(const std::vector<WorkerListing>& workers,
                    MonotonicTime now);
  // Workers that a later scheduler must ask, and those of them that are
  // stored for it; only the latter are used.
  std::vector<WorkerListing> WorkersToRemember() const;
  void SetRemembered(const std::set<WorkerName>& workers);
  // Workers that do not answer run nothing of an earlier scheduler from then.
  void SetUnknownRunsOver(MonotonicTime time);

  // Jobs. `progress` is what the store holds of an earlier scheduler.
  // `may_have_runs` is false for jobs accepted under this scheduler.
  void AddJob(AcceptedJob job,
              const JobProgress& progress,
              bool may_have_runs,
              MonotonicTime now);
  void CancelJob(const JobId& job, MonotonicTime now);
  void ForgetJob(const JobId& job);

  // Workers.
  void SetListing(const std::map<WorkerName, WorkerListing>& listing,
                  MonotonicTime now);
  void OnReport(const WorkerName& worker,
                const RunReport& report,
                MonotonicTime asked_at,
                MonotonicTime now);
  void OnReportFailed(const WorkerName& worker, MonotonicTime now);
  // No life of the worker that this scheduler gave orders to is left. Without
  // effect on runs while another scheduler may have taken over; to be told
  // again.
  void OnWorkerGone(const WorkerName& worker, MonotonicTime now);
  // Workers whose silence holds up tasks: they may run what is to be placed.
  std::vector<WorkerName> SilentWorkers(MonotonicTime now) const;
  void OnStart(const StartRun& order,
               StartOutcome outcome,
               std::optional<Milliseconds> worker_clock,
               MonotonicTime now);
  void OnStop(const StopRun& order, bool is_answered, MonotonicTime now);

  // `tickets` is empty if the advisor did not answer.
  void OnAdvice(const TaskRef& step,
                const std::vector<PlacementTicket>& tickets,
                MonotonicTime now);

  // The orders that follow from all events up to now.
  std::vector<Order> TakeOrders(MonotonicTime now, WallTime wall);

  // Progress that must be stored, final ones first; empty unless a job is
  // complete or the interval is over.
  std::vector<std::pair<JobId, JobProgress>> TakeUnsaved(std::size_t most,
                                                         MonotonicTime now);
  void OnSaved(const std::vector<JobId>& jobs);
  void OnSaveFailed(const std::vector<JobId>& jobs);

  // Status as callers may see it: final only once it is stored.
  std::optional<JobStatus> StatusOf(const JobId& job) const;
  // Jobs of the queue for which no task has started.
  int PendingJobs(const QueueName& queue) const;
  // Resources of the runs of each team, and of what waits for its allotment.
  const std::map<TeamName, Resources>& usage() const { return this->used; }
  const std::map<TeamName, Resources>& wanted() const { return this->unmet; }
  PoolLoad Load(MonotonicTime now, WallTime wall) const;
  bool IsFenced() const { return this->is_fenced; }
  bool IsRecovering(MonotonicTime now) const;
  // Lines for the log, one for each decision since the last call.
  std::vector<std::string> TakeDecisions();

 private:
  // kHeldBack: the team's allotment or a ticket is missing.
  enum class Placement { kPlaced, kNoRoom, kHeldBack };

  // A step with tasks to be placed.
  struct Candidate {
    JobState* job = nullptr;
    int occurrence = 0;
    int step = 0;
    int tier = 0;
    int priority = 0;
  };

  // pool_scheduler.cc
  const QueuePolicy& PolicyOf(const JobState& job) const;
  TaskState* FindTask(const TaskRef& task);
  const StepSpec& SpecOf(const JobState& job, const TaskRef& task) const;
  RunRecord* FindRun(const TaskRef& task, std::int64_t run);
  RunRecord* AddRun(JobState* job,
                    const TaskRef& task,
                    std::int64_t number,
                    const WorkerName& worker,
                    MonotonicTime now);
  void RemoveRun(const TaskRef& task, std::int64_t number);
  void StopRunOf(const TaskRef& task, RunRecord* run, MonotonicTime now);
  void StopAllRuns(JobState* job, MonotonicTime now);
  void Touch(JobState* job);
  void OpenDueOccurrences(JobState* job, WallTime wall);
  void FinishTask(JobState* job, const TaskRef& task, MonotonicTime now);
  void FailTask(JobState* job,
                const TaskRef& task,
                std::int64_t run,
                MonotonicTime now);
  void Close(JobState* job, JobStatus status, MonotonicTime now);
  void Note(std::string_view decision,
            const TaskRef& task,
            std::int64_t run,
            const WorkerName& worker,
            std::string_view reason);

  // pool_scheduler_reports.cc
  void LearnClock(WorkerState* worker, Milliseconds clock, MonotonicTime now);
  Milliseconds LeaseFor(WorkerState* worker, MonotonicTime now);
  // A new life of the worker counts its ends and its clock anew.
  void BeginLife(WorkerState* worker, MonotonicTime now);
  void ApplyEnd(WorkerState* worker, const RunEnd& end, MonotonicTime now);
  void ApplyActive(WorkerState* worker,
                   const ActiveRun& active,
                   MonotonicTime now);
  // Runs that the last report should have shown and did not.
  void DropMissingRuns(WorkerState* worker, MonotonicTime asked_at);
  void AcknowledgeSavedEnds(WorkerState* worker);

  // pool_scheduler_workers.cc
  void ExpireLeases(MonotonicTime now);
  void AskReports(MonotonicTime now);
  // An unanswered start whose stop was answered: the next report tells.
  bool HasRunThatMayNeverCome(const WorkerState& worker);
  void RepeatStops(MonotonicTime now);
  void ForgetEmptyWorkers(MonotonicTime now);
  void CountOutcome(WorkerState* worker, bool is_failure, MonotonicTime now);

  // pool_scheduler_placement.cc
  void PlaceTasks(MonotonicTime now, WallTime wall);
  void CollectCandidates(MonotonicTime now,
                         WallTime wall,
                         std::vector<Candidate>* candidates);
  void CollectStep(const Candidate& candidate,
                   std::vector<Candidate>* candidates);
  // Number of tasks of the step that could be placed.
  int PlaceableTasks(const Candidate& candidate) const;
  // False if a task of the step found no room.
  bool PlaceStep(const Candidate& candidate, MonotonicTime now);
  bool IsReady(const JobState& job,
               const OccurrenceState& state,
               int step) const;
  bool MayPlaceTask(const TaskState& task, const StepSpec& step) const;
  bool IsUsable(const WorkerState& worker, MonotonicTime now) const;
  bool FitsOn(const WorkerState& worker,
              const JobState& job,
              const TaskRef& task,
              const StepSpec& step) const;
  // Whether the worker may run the task, room aside.
  bool IsAllowedOn(const WorkerState& worker,
                   const JobState& job,
                   const TaskRef& task,
                   const StepSpec& step) const;
  double CostOn(const WorkerState& worker,
                const JobState& job,
                const TaskRef& task,
                const StepSpec& step) const;
  // Null if no worker has room now.
  WorkerState* ChooseWorker(const JobState& job,
                            const TaskRef& task,
                            const RackName& rack,
                            MonotonicTime now);
  // Asks the advisor for tickets of the step if it has none that are valid.
  bool HasTickets(JobState* job, const TaskRef& task, MonotonicTime now);
  bool HasAllotment(const TeamName& team, const Resources& request) const;
  Placement PlaceOne(JobState* job, const TaskRef& task, MonotonicTime now);
  Placement PlaceGang(JobState* job, TaskRef task, MonotonicTime now);
  void Start(JobState* job,
             const TaskRef& task,
             WorkerState* worker,
             std::int64_t number,
             MonotonicTime now);
  void ReserveWorker(const JobState& job,
                     const TaskRef& task,
                     MonotonicTime now);

  // pool_scheduler_load.cc
  // Work that arrived in a window of time, in millicore-seconds a millisecond.
  double ArrivalRate(MonotonicTime from, MonotonicTime to) const;
  // The same by the time at which machines that are ordered now run tasks.
  double ExpectedArrivals(MonotonicTime now) const;

  // pool_scheduler_services.cc
  void MoveServicesAway(MonotonicTime now);
  void MoveServiceAway(WorkerState* worker,
                       const TaskRef& task,
                       RunRecord* run,
                       MonotonicTime now);
  // Whether an order may take the task away now, by the budget of its step.
  bool IsWithinBudget(const TaskRef& task, MonotonicTime now) const;
  int TasksAway(const StepState& step, int except, MonotonicTime now) const;
  void PaceIdleCapacityRuns(WorkerState* worker);
  void StopStalledRuns(MonotonicTime now);

  PoolName pool;
  SchedulerSettings settings;
  std::int64_t first_run;
  MonotonicTime unknown_runs_over_at;
  std::map<QueueName, QueuePolicy> policies;
  std::set<ZoneName> zones_out;
  std::map<TeamName, Resources> allotments;
  std::unordered_map<JobId, JobState> jobs;
  std::set<JobId> open_jobs;
  std::set<JobId> unconfirmed_jobs;
  std::map<WorkerName, WorkerState> workers;
  std::map<TeamName, Resources> used;
  std::map<TeamName, Resources> unmet;
  // Worker kept free in this pass for a task that fits nowhere yet.
  WorkerName reserved_worker;
  std::set<JobId> unsaved;
  bool has_unsaved_final = false;
  MonotonicTime next_save;
  bool is_fenced = false;
  bool is_sole = true;
  MonotonicTime no_starts_before;
  // Work (millicore-seconds) of the jobs that came lately, oldest first.
  std::deque<std::pair<MonotonicTime, double>> arrivals;
  MonotonicTime next_review;
  // Orders to stop may wait for an answer.
  bool has_open_stops = false;
  // Millicores of tasks that the last pass left without a place.
  std::int64_t waiting_millicores = 0;
  std::vector<Order> orders;
  std::vector<std::string> decisions;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_JOBS_POOL_SCHEDULER_H_
