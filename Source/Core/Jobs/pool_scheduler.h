#ifndef SOURCE_CORE_JOBS_POOL_SCHEDULER_H_
#define SOURCE_CORE_JOBS_POOL_SCHEDULER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "Core/Common/identifiers.h"
#include "Core/Common/time.h"
#include "Core/Jobs/advice_window.h"
#include "Core/Jobs/job_progress.h"
#include "Core/Jobs/job_state.h"
#include "Core/Jobs/minimal_requests.h"
#include "Core/Jobs/order.h"
#include "Core/Jobs/placement_ticket.h"
#include "Core/Jobs/pool_load.h"
#include "Core/Jobs/pool_overload.h"
#include "Core/Jobs/previous_run.h"
#include "Core/Jobs/queue_policy.h"
#include "Core/Jobs/run_report.h"
#include "Core/Jobs/scheduler_settings.h"
#include "Core/Jobs/start_outcome.h"
#include "Core/Jobs/team_demand.h"
#include "Core/Jobs/team_shares.h"
#include "Core/Jobs/team_standing.h"
#include "Core/Jobs/worker_end.h"
#include "Core/Jobs/worker_listing.h"
#include "Core/Jobs/worker_state.h"
#include "Core/Overload/delay_planner.h"

namespace daisyroad {

// Assigns the tasks of one pool to its workers. The class does no I/O: events
// are passed to the On...() functions, and TakeOrders() returns the orders to
// send.
//
// A task has at most one run at a time, also across a change of the scheduler.
// A run is therefore dropped only when its worker reports that it ended or can
// no longer start, when the worker process has ended, or when its lease has
// expired. Steps with `allows_copies` are exempt.
class PoolScheduler {
 public:
  // `first_run` is the run number for the first run of a task without any known
  // runs. From `unknown_runs_over_at` on, runs that an earlier scheduler
  // started on workers that never reported to this one have ended.
  PoolScheduler(const PoolName& pool,
                const SchedulerSettings& settings,
                std::int64_t first_run,
                MonotonicTime unknown_runs_over_at);

  void SetPolicies(std::map<QueueName, QueuePolicy> policies);
  void SetZonesOut(std::set<ZoneName> zones);
  // Resources that each team with an upper limit may use in this pool.
  void SetAllotments(std::map<TeamName, Resources> allotments);
  // The part of each allotment that earlier schedulers had and may use still.
  void SetInherited(std::map<TeamName, Resources> inherited);
  // Shares of the teams, of which each gets its part while the pool is full.
  void SetShares(std::map<TeamName, double> weights, MonotonicTime now) {
    this->shares.SetWeights(std::move(weights), now);
  }
  // Set to false while another scheduler may have taken over. During that time,
  // runs on unresponsive workers are not dropped, since the other scheduler may
  // have adopted them, and newly added jobs do not start, since the other
  // scheduler may start them.
  void SetSole(bool is_sole_leader);
  // Delays all starts until `time`, by when a new scheduler has learned which
  // workers are to be emptied.
  void HoldStartsUntil(MonotonicTime time);
  // Sets the workers to be emptied now for planned work on their machines, and
  // those to be emptied later.
  void SetVacating(const std::set<WorkerName>& workers,
                   const std::set<WorkerName>& due);

  // Adds the workers that earlier schedulers stored, whether they are listed
  // now or not. No others can have runs of an earlier scheduler.
  void ExpectRunsOn(const std::vector<WorkerListing>& workers,
                    MonotonicTime now);
  // Called instead if it is not known which workers these are. Their runs have
  // ended from `unknown_runs_over_at` on.
  void ExpectRunsAnywhere() { this->are_earlier_workers_known = false; }
  // Workers that the next scheduler must ask for their runs.
  std::vector<WorkerListing> WorkersToRemember() const;
  // Sets the workers that are stored for the next scheduler. Only these get
  // runs.
  void SetRemembered(const std::set<WorkerName>& workers);
  // Moves `unknown_runs_over_at` to an earlier time.
  void SetUnknownRunsOver(MonotonicTime time);

  // `progress` is what an earlier scheduler saved in the store. `may_have_runs`
  // is false for jobs accepted under this scheduler.
  void AddJob(AcceptedJob job,
              const JobProgress& progress,
              bool may_have_runs,
              MonotonicTime now);
  void CancelJob(const JobId& job, MonotonicTime now);
  void ForgetJob(const JobId& job);

  void SetListing(const std::map<WorkerName, WorkerListing>& listing,
                  MonotonicTime now);
  void OnReport(const WorkerName& worker,
                const RunReport& report,
                MonotonicTime asked_at,
                MonotonicTime now);
  void OnReportFailed(const WorkerName& worker, MonotonicTime now);
  // Called when the process that the worker had at `observed_from` or later has
  // ended. Runs that may have started since are kept. Ignored if the worker has
  // reported since, or if it has runs and another scheduler may have taken
  // over, so the caller must repeat the call.
  void OnWorkerGone(const WorkerName& worker,
                    MonotonicTime observed_from,
                    MonotonicTime now,
                    WorkerEnd end = WorkerEnd::kUnknown);
  // Workers that missed a report and may have runs, so tasks wait for them.
  std::vector<WorkerName> SilentWorkers(MonotonicTime now) const;
  void OnStart(const StartRun& order,
               StartOutcome outcome,
               std::optional<Milliseconds> worker_clock,
               MonotonicTime now);
  void OnStop(const StopRun& order,
              bool is_answered,
              MonotonicTime asked_at,
              MonotonicTime now);

  // The advisor has answered: the step may run on the workers with tickets.
  void OnAdvice(const AskAdvice& ask,
                const std::vector<PlacementTicket>& tickets,
                MonotonicTime now);
  // The request got no answer.
  void OnNoAdvice(const AskAdvice& ask, MonotonicTime now);

  // Returns the orders that follow from all events so far.
  std::vector<Order> TakeOrders(MonotonicTime now, WallTime wall);

  // Returns job progress to be saved, closed jobs first. Empty unless a job was
  // closed, a crash was counted or the save interval has passed. Jobs that were
  // returned are left out until OnSaved() or OnSaveFailed().
  std::vector<std::pair<JobId, JobProgress>> TakeUnsaved(std::size_t max_jobs,
                                                         MonotonicTime now);
  void OnSaved(const std::vector<JobId>& jobs);
  void OnSaveFailed(const std::vector<JobId>& jobs);

  // Status to show to callers. A final status is shown only once it is saved.
  std::optional<JobStatus> StatusOf(const JobId& job) const;
  // Number of open jobs of the queue of which no task has started.
  int PendingJobs(const QueueName& queue) const;
  // Resources that the runs of each team use at most, with those that are not
  // known as of the last pass, and what its tasks lack that wait for the team's
  // allotment only.
  std::map<TeamName, Resources> MaxUsage() const;
  const std::map<TeamName, TeamDemand>& demands() const { return this->unmet; }
  // What the jobs of each team have of the pool, as of the last pass.
  std::vector<TeamStanding> Standings() const {
    return this->shares.Standings();
  }
  PoolLoad Load(MonotonicTime now, WallTime wall) const;
  const PoolOverload& pool_overload() const { return this->overload; }
  bool IsFenced() const { return this->is_fenced; }
  bool IsRecovering(MonotonicTime now) const;
  // Whether the pool certainly has no runs that this scheduler does not know.
  bool AreRunsKnown(MonotonicTime now) const {
    return this->is_sole_leader && !this->IsRecovering(now);
  }
  // Returns one log line for each decision since the last call.
  std::vector<std::string> TakeDecisions();

 private:
  // kBlocked: the team's allotment is used up or the step has no valid tickets.
  // kWaiting: the task has crashes and waits for its trial, or until its start
  // is stored.
  enum class Placement { kPlaced, kNoRoom, kBlocked, kWaiting };

  // kBesideTrial: a run on trial is more likely the cause of the crash.
  // kAloneOnTrial: no other run may have caused it.
  enum class Suspicion { kBesideTrial, kSuspected, kAloneOnTrial };

  using RunKey = std::pair<TaskRef, std::int64_t>;

  // A worker that crashed, and the runs that were counted for it.
  struct Crash {
    MonotonicTime time;
    WorkerListing worker;
    std::set<RunKey> counted;
  };

  // A task to place, with what is looked up once for all workers.
  struct PlacedTask {
    const TaskRef& task;
    const StepSpec& step;
    const StepState& step_state;
    const TaskState& state;
    Resources reserved;
    bool needs_ticket = false;
  };

  // A step that waits for its request to the placement advisor.
  struct AdviceWish {
    JobState* job = nullptr;
    TaskRef step;
    MonotonicTime since;
  };

  // Mean work of the latest jobs of a queue, in millicore-seconds.
  struct MeanWork {
    double value = 0.0;
    int count = 0;
  };

  // A step that has tasks to place.
  struct Candidate {
    JobState* job = nullptr;
    int occurrence = 0;
    int step = 0;
    int tier = 0;
    int priority = 0;
    int placeable = 0;  // tasks, as of the beginning of the pass
    // Of the job; here since the order compares all candidates of a pass.
    std::size_t share_account = 0;
    double remaining_work = 0.0;
  };

  // pool_scheduler.cc
  const QueuePolicy& PolicyOf(const JobState& job) const;
  // The step of the task; null if its occurrence is not open, or there is no
  // such task.
  StepState* FindStep(const TaskRef& task);
  const StepSpec& SpecOf(const JobState& job, const TaskRef& task) const;
  // Null if there is no such task in an open occurrence.
  const TaskState* FindTask(const TaskRef& task) const;
  RunRecord* FindRun(const TaskRef& task, std::int64_t run);
  RunRecord* AddRun(JobState* job,
                    const TaskRef& task,
                    std::int64_t number,
                    const WorkerName& worker,
                    MonotonicTime now);
  // `how` tells why the run counts as over.
  void RemoveRun(const TaskRef& task, std::int64_t number, PreviousRun how);
  void StopRunOf(const TaskRef& task, RunRecord* run, MonotonicTime now);
  void StopAllRuns(JobState* job, MonotonicTime now);
  void MarkUnsaved(JobState* job);
  // Opens the occurrences that are due, as far as their tasks can start soon.
  // Occurrences are closed when they are finished and have no runs.
  void OpenDueOccurrences(JobState* job, WallTime wall);
  // Number of tasks that wait in each step without predecessors.
  static std::vector<std::int64_t> CountWaitingFirst(const JobState& job);
  // Opens the occurrence unless it is open. One that is finished gets only done
  // tasks.
  OccurrenceState* OpenOccurrence(JobState* job, int occurrence);
  // Opens the occurrence of the task, though it may not be due by the clock of
  // this scheduler. Returns null if there is no such task.
  TaskState* OpenTask(const TaskRef& task);
  void FinishOccurrence(JobState* job, int occurrence, MonotonicTime now);
  // Closes the occurrence if it is finished, or the job is, and has no runs.
  static void CloseOccurrence(JobState* job, int occurrence);
  void AdoptProgress(JobState* job,
                     const JobProgress& progress,
                     MonotonicTime now);
  // Marks the task as done, and its gang if it has one.
  void FinishTask(JobState* job, const TaskRef& task, MonotonicTime now);
  // Marks the tasks of the step of `first` that have these indexes as done.
  void FinishTasks(JobState* job,
                   const TaskRef& first,
                   const IndexRanges& indexes,
                   MonotonicTime now);
  void FailTask(JobState* job,
                const TaskRef& task,
                std::int64_t run,
                MonotonicTime now);
  void CloseJob(JobState* job, JobStatus status, MonotonicTime now);
  // Records when the wait for unknown runs begins and ends.
  void RecordRecovery(MonotonicTime now);
  // Updates what runs that are not known may use of the allotments.
  void ReviewUnknownUse(MonotonicTime now);
  void RecordStart(const JobState& job,
                   const TaskRef& task,
                   std::int64_t run,
                   const WorkerName& worker);
  void RecordDecision(std::string_view decision,
                      const TaskRef& task,
                      std::int64_t run,
                      const WorkerName& worker,
                      std::string_view reason);

  // pool_scheduler_reports.cc
  void UpdateWorkerClock(WorkerState* worker,
                         Milliseconds clock,
                         MonotonicTime now);
  Milliseconds ExtendLease(WorkerState* worker, MonotonicTime now);
  // Whether the start order of the run was answered before `time`.
  static bool IsAnsweredBefore(const RunRecord& run, MonotonicTime time);
  // Resets the worker's clock and acknowledgement state, since both start over
  // with its new process.
  void HandleWorkerRestart(WorkerState* worker, MonotonicTime now);
  // The start order got no answer, so the run may have begun.
  void HandleUnknownStart(const StartRun& order,
                          RunRecord* run,
                          WorkerState* worker,
                          MonotonicTime now);
  void HandleRunEnd(WorkerState* worker, const RunEnd& end, MonotonicTime now);
  // Updates the task of a run that has ended, unless its job or its occurrence
  // has.
  void RecordTaskEnd(WorkerState* worker,
                     JobState* job,
                     const RunEnd& end,
                     MonotonicTime now);
  void HandleActiveRun(WorkerState* worker,
                       const ActiveRun& active,
                       MonotonicTime now);
  // Removes the runs that the last report should contain and does not.
  void DropMissingRuns(WorkerState* worker,
                       MonotonicTime asked_at,
                       MonotonicTime now);
  void AcknowledgeSavedEnds(WorkerState* worker);

  // pool_scheduler_workers.cc
  void ExpireLeases(MonotonicTime now);
  void AskReports(MonotonicTime now);
  // Whether a task waits for a worker with one of these labels.
  bool HasWantedLabel(const WorkerListing& worker) const;
  // Whether the next report settles whether a run with an unanswered start
  // order exists.
  bool AwaitsStopConfirmation(const WorkerState& worker);
  void RepeatStops(MonotonicTime now);
  void RemoveUnlistedWorkers(MonotonicTime now);
  // Whether the next scheduler would learn of some end from the worker only.
  bool HasUnsavedEnds(const WorkerState& worker) const;
  void RecordRunOutcome(WorkerState* worker,
                        bool is_failure,
                        MonotonicTime now);

  // pool_scheduler_placement.cc
  void PlaceTasks(MonotonicTime now, WallTime wall);
  void CollectCandidates(MonotonicTime now,
                         WallTime wall,
                         std::vector<Candidate>* candidates);
  Standing StandingOf(const JobState& job, WallTime wall) const;
  void CollectStep(const Candidate& candidate,
                   std::vector<Candidate>* candidates);
  void CollectUsableWorkers(MonotonicTime now);
  // Number of tasks of the step that may be placed now.
  int CountPlaceableTasks(const Candidate& candidate) const;
  // The same for the tasks from `from` on of a step that is no gang.
  int CountPlaceableFrom(const StepSpec& spec,
                         const StepState& state,
                         int from) const;
  Placement PlaceStep(const Candidate& candidate, MonotonicTime now);
  bool IsStepReady(const JobState& job,
                   const OccurrenceState& state,
                   int step) const;
  bool IsPlaceable(const TaskState& task, const StepSpec& step) const;
  bool IsUsable(const WorkerState& worker, MonotonicTime now) const;
  PlacedTask DescribeTask(const JobState& job, const TaskRef& task) const;
  bool FitsOn(const WorkerState& worker, const PlacedTask& placed) const;
  static bool HasLabel(const WorkerListing& worker, const StepSpec& step);
  // Whether the worker may run the task, apart from free capacity.
  static bool IsAllowedOn(const WorkerState& worker, const PlacedTask& placed);
  static double CostOn(const WorkerState& worker, const PlacedTask& placed);
  // Returns null if no usable worker can take the task.
  WorkerState* ChooseWorker(const JobState& job,
                            const TaskRef& task,
                            const RackName& rack);
  // Like ChooseWorker on any rack. Records requests without room.
  WorkerState* FindWorker(const JobState& job, const TaskRef& task);
  // Whether some workers may not run the task, whatever their free capacity.
  static bool IsRestricted(const PlacedTask& placed);
  // Whether the free capacity allows the gang, without regard to other
  // restrictions.
  bool HasRoomForGang(const StepSpec& step) const;
  // Number of tasks of the step that fit in the room of one worker.
  static int MembersOn(const StepSpec& step, const Resources& room);
  // Whether shares are on and no worker alone can hold the gang. A worker kept
  // free for it would stay idle.
  bool IsWideGang(const StepSpec& step) const;
  // What is requested at once: for all members of a gang, or for one task.
  static Resources LeastRequest(const StepSpec& step);
  // What the runs of the team use, including those that are not known.
  Resources UseOf(const TeamName& team) const;
  bool HasAllotment(const TeamName& team, const Resources& request) const;
  // Records tasks that only lack the allotment of their team.
  void AddDemand(const TeamName& team, const Resources& request, int tasks = 1);
  // Whether the job may have that many more runs.
  bool MayAddRuns(const JobState& job, int count) const {
    return job.runs == 0 || job.runs + count <= this->settings.max_runs_per_job;
  }
  // Whether more start orders may be sent before others are answered.
  bool MaySendStarts() const {
    return this->unanswered_starts < this->settings.max_unanswered_starts;
  }
  Placement PlaceTask(JobState* job, const TaskRef& task, MonotonicTime now);
  Placement PlaceGang(JobState* job, TaskRef task, MonotonicTime now);
  void Start(JobState* job,
             const TaskRef& task,
             WorkerState* worker,
             std::int64_t number,
             MonotonicTime now);
  void ReserveWorker(const JobState& job, const TaskRef& task);

  // pool_scheduler_advice.cc
  // Whether the step may run on some worker. If that is not known, it gets its
  // turn at the placement advisor.
  bool HasTickets(JobState* job, const TaskRef& task, MonotonicTime now);
  // Asks for a turn to request tickets for further workers.
  void WantAdvice(JobState* job, const TaskRef& task, MonotonicTime now);
  // Sends the requests of this pass that have their turn.
  void RequestAdvice(MonotonicTime now);
  // `ahead` counts the requests for steps without room.
  void RequestAdviceFor(const AdviceWish& wish, MonotonicTime now, int* ahead);

  // pool_scheduler_order.cc
  // Sorts collected candidates by tier, priority and work left.
  static void OrderCandidates(std::vector<Candidate>* candidates);
  // Places the ordered candidates. While there is too little room, the standing
  // of the team goes before the work left.
  void PlaceInOrder(const std::vector<Candidate>& candidates,
                    bool may_start,
                    MonotonicTime now);
  // Places candidates of one tier and priority, those of the team with the
  // highest standing first. A team's standing falls as its tasks start.
  void PlaceByStanding(const Candidate* begin,
                       const Candidate* end,
                       bool may_start,
                       MonotonicTime now);
  // Returns whether there are orders for the step.
  bool PlaceCandidate(const Candidate& candidate,
                      bool may_start,
                      MonotonicTime now);
  // Whether the jobs that wait want more than there is, or some found no room
  // in the last pass.
  bool IsRoomShort(const std::vector<Candidate>& candidates) const;
  // What the jobs of all teams may use: the usable workers, without what tasks
  // that last reserve.
  Resources RoomOfJobs() const;
  // Whether the usable workers could run a task of the step, or the whole gang,
  // if they were empty.
  bool HasSuitableWorker(const StepSpec& step) const;
  // Records the teams that are far from their share while their tasks wait.
  void RecordStandings(MonotonicTime now);

  // pool_scheduler_crashes.cc
  bool IsEndPlanned(const WorkerState& worker, MonotonicTime now) const;
  // Counts a crash of the worker for the tasks of the runs that it lost.
  void HandleCrash(WorkerState* worker,
                   std::set<RunKey> lost,
                   MonotonicTime now);
  // Returns false if the run does not count for its task.
  bool CountCrash(const RunKey& run, Suspicion suspicion, MonotonicTime now);
  // Whether the worker confirmed the run shortly before `now`.
  bool WasSeenLately(const RunRecord& run, MonotonicTime now) const;
  int CountCrashes(const JobState& job, const TaskRef& task) const;
  // Disregards the crashes of workers that were lost together.
  void ReviewJointLoss();
  bool IsJointLoss(
      const std::function<bool(const WorkerListing&)>& is_there) const;
  void DisregardCrash(Crash* crash);
  void MarkCrashesUnsaved(const TaskRef& task, TaskState* state);
  // Notes that the end of the run is known.
  void CloseStart(const TaskRef& task, std::int64_t run);
  // Settles the starts of which neither the run nor its end was found: they
  // count as crashes once the process of their worker has ended.
  void SettleOpenStarts(MonotonicTime now);
  void SettleOpenStart(const RunKey& run,
                       const OpenStart& start,
                       MonotonicTime now);
  // Records a start of a task with crashes for the next scheduler. Returns
  // whether the run may be started; trials are stored first.
  bool IsStartStored(JobState* job,
                     const TaskRef& task,
                     std::int64_t run,
                     const OpenStart& start);
  bool NeedsTrial(const TaskRef& task) const;
  // How long a run on trial is kept apart from younger runs: after one more
  // crash than the first trial takes, until the run clears its task.
  Milliseconds TrialDuration(const TaskRef& task) const;
  // Whether the run has been active for `duration`.
  bool HasLasted(const RunRecord& run,
                 Milliseconds duration,
                 MonotonicTime now) const;
  // Updates the tasks with crashes and the workers in use for trials.
  void ReviewSuspects(MonotonicTime now);
  void PlaceTrials(const std::vector<Candidate>& candidates, MonotonicTime now);
  void PlaceTrial(JobState* job, const TaskRef& task, MonotonicTime now);
  // Expected time until the worker can run a trial of the task, zero if it can
  // at once.
  Milliseconds TrialDelay(const WorkerState& worker,
                          const TaskRef& task,
                          MonotonicTime now) const;

  // pool_scheduler_load.cc
  // Work of the jobs that arrived from `from` until `to`, without the largest
  // job, in millicore-seconds per millisecond of the demand window.
  double ArrivalRate(MonotonicTime from, MonotonicTime to) const;
  // Standard deviation of the difference between the arrival rates of two
  // windows if jobs arrive independently and equally often in both.
  double ArrivalDeviation(MonotonicTime from, MonotonicTime to) const;
  // Extrapolates the arrival rate to the time at which machines requested now
  // can run tasks.
  double ExpectedArrivals(MonotonicTime now) const;

  // pool_scheduler_overload.cc
  void RecordSize(JobState* job);
  // Describes the job for the planner, without its priority and work.
  WaitingJob DescribeWait(const JobState& job, WallTime wall) const;
  void AddWork(const JobState& job,
               const Resources& capacity,
               WaitingJob* waiting) const;
  // Chooses the jobs that are delayed, if that is due.
  void ReviewDelays(MonotonicTime now, WallTime wall);
  // Counts the end of a job while the pool is short of room.
  void RecordEnd(const JobState& job);
  void Delay(JobState* job, const WaitingJob& waiting);

  // pool_scheduler_services.cc
  void EvictServices(MonotonicTime now);
  void EvictServicesOf(WorkerState* worker, MonotonicTime now);
  void EvictService(WorkerState* worker,
                    const TaskRef& task,
                    RunRecord* run,
                    MonotonicTime now);
  // Whether the disruption budget of the step allows stopping the task now.
  bool IsDisruptionAllowed(const TaskRef& task, MonotonicTime now) const;
  int CountUnavailableTasks(const StepState& step,
                            int except,
                            MonotonicTime now) const;
  void ThrottleIdleCapacityRuns(WorkerState* worker, MonotonicTime now);
  void StopStalledRuns(MonotonicTime now);

  PoolName pool;
  SchedulerSettings settings;
  DelayPlanner planner;
  std::int64_t first_run;
  MonotonicTime unknown_runs_over_at;
  bool are_earlier_workers_known = true;
  std::map<QueueName, QueuePolicy> policies;
  std::set<ZoneName> zones_out;
  std::map<TeamName, Resources> allotments;
  std::unordered_map<JobId, JobState> jobs;
  std::map<JobId, JobState*> open_jobs;
  std::set<JobId> unconfirmed_jobs;
  std::map<WorkerName, WorkerState> workers;
  std::map<TeamName, Resources> used;
  TeamShares shares;
  // Some job found no room in the last pass.
  bool was_room_short = false;
  // When the next line on a team's standing may be written.
  std::map<TeamName, MonotonicTime> next_standing_line;
  std::map<TeamName, Resources> inherited;
  // The most that runs of jobs found at the beginning can use.
  std::map<TeamName, Resources> found_work;
  // What the runs found so far of earlier schedulers used when they were found.
  // Their ends do not count, since the earlier scheduler may not know of them.
  std::map<TeamName, Resources> adopted;
  std::set<RunKey> adopted_runs;
  // What runs that are not known may use, as of the last pass.
  std::map<TeamName, Resources> unknown_use;
  std::map<TeamName, TeamDemand> unmet;
  // Workers that may get runs in this pass.
  std::vector<WorkerState*> usable_workers;
  // Worker kept free in this pass for a task that fits on no worker yet.
  WorkerName reserved_worker;
  // Labels that steps with tasks to place require.
  std::set<std::string> wanted_labels;
  // Requests for which no worker has room in this pass.
  MinimalRequests unplaceable;
  // Steps that wait for a request to the advisor in this pass, in the order of
  // placement.
  std::vector<AdviceWish> advice_wishes;
  AdviceWindow advice_window;
  std::int64_t advice_requests = 0;  // so far
  // Tasks of open jobs with crashes.
  std::set<TaskRef> suspects;
  std::deque<Crash> crashes;
  // Number of workers in use for trials in this pass.
  int trials = 0;
  // Some workers are marked as used by tasks with crashes.
  bool has_suspect_marks = false;
  std::set<JobId> unsaved;
  bool has_unsaved_final = false;
  bool has_unsaved_crash = false;
  MonotonicTime next_save;
  bool is_fenced = false;
  bool is_sole_leader = true;
  bool was_recovering = false;
  MonotonicTime no_starts_before;
  // Arrival time and work in millicore-seconds of recent jobs, oldest first.
  std::deque<std::pair<MonotonicTime, double>> arrivals;
  MonotonicTime next_review;
  MonotonicTime next_stall_check;
  // Some stop orders may still be unanswered.
  bool has_pending_stops = false;
  // Start orders that were not answered yet.
  int unanswered_starts = 0;
  // Millicores of the tasks that the last pass did not place.
  std::int64_t waiting_millicores = 0;
  std::map<QueueName, MeanWork> mean_work;
  std::vector<JobId> marked_jobs;
  PoolOverload overload;
  MonotonicTime next_delay_review;
  WallTime last_wall;  // of the last choice of delayed jobs
  std::vector<Order> orders;
  std::vector<std::string> decisions;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_JOBS_POOL_SCHEDULER_H_
