#ifndef SOURCE_UNITTESTS_JOBS_TAKEOVER_SIMULATION_H_
#define SOURCE_UNITTESTS_JOBS_TAKEOVER_SIMULATION_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Core/Common/random.h"
#include "Core/Jobs/pool_scheduler.h"
#include "UnitTests/Jobs/fake_worker.h"
#include "UnitTests/Jobs/takeover_options.h"
#include "UnitTests/Schedule/event_queue.h"

namespace daisyroad {

// Simulates the instances that schedule one pool in turn, each with the workers
// that it reaches. Zones are cut off, links break, processes are killed and
// start again, schedulers are replaced and go on until they learn of it;
// workers restart under their names; answers are lost and orders are executed
// late. Checks the runs on the workers.
class TakeoverSimulation {
 public:
  struct Totals {
    int starts = 0;
    int starts_by_replaced = 0;
    int renewals_by_replaced = 0;
    int late_orders = 0;
    int lost_answers = 0;
    int late_lists = 0;
    int terms = 0;
    // Terms that began while two earlier holders might still give orders.
    int chained_terms = 0;
    int predecessors_gone = 0;
    int instances_killed = 0;
    int worker_restarts = 0;
    int cuts = 0;
    int pauses = 0;
    int orders_after_pauses = 0;
    int answers_after_pauses = 0;
    int store_outages = 0;
    int terms_after_own = 0;
    int expired_entries = 0;
    int starts_of_lasting = 0;
    int slow_stops = 0;
    int held_reports = 0;
    int late_writes = 0;
    int refused_writes = 0;
    int orders_to_next_process = 0;
    int quick_restarts = 0;
    int worker_moves = 0;
    int jobs_complete = 0;
    int jobs_failed = 0;
  };

  TakeoverSimulation(std::uint64_t seed, const TakeoverOptions& options);

  // Returns an empty string, or a description of the first violation.
  std::string Run(Totals* totals);
  const std::vector<std::string>& trace() const { return this->lines; }

 private:
  // The process of an instance: its index and start count.
  using Process = std::pair<int, std::int64_t>;

  // An end of a run, and how often its task had been started by then.
  struct NotedEnd {
    TaskRef task;
    EndKind kind = EndKind::kStopped;
    int starts = 0;
  };

  struct Host {
    std::unique_ptr<FakeWorker> worker;  // null while it is down
    WorkerListing listing;
    int zone = 0;
    int start_count = 1;
    MonotonicTime booted_at;
    double clock_rate = 1.0;
    MonotonicTime unreachable_until;  // by all
    MonotonicTime next_check_in;
    std::map<std::int64_t, NotedEnd> ends;
  };

  // A term of the scheduler in one process.
  struct Leader {
    Leader(std::int64_t number, MonotonicTime unknown_runs_over_at);

    PoolScheduler scheduler;
    std::int64_t number = 0;
    std::int64_t fence = 0;
    int instance = 0;
    std::vector<Process> predecessors;
    bool is_predecessor_gone = false;
    MonotonicTime begun_at;
    bool is_ready = false;
    bool is_fenced = false;
    bool is_stopped = false;
    std::size_t known_jobs = 0;
    MonotonicTime next_listing;
    MonotonicTime next_inbox;
    MonotonicTime next_persist;
    MonotonicTime next_machine_check;
    bool is_persisting = false;
    bool is_listing_machines = false;
    int saves_in_progress = 0;
    std::optional<std::vector<WorkerListing>> persisted;
    std::map<WorkerName, std::string> addresses;
    // Revisions in the store as this scheduler knows them.
    std::map<JobId, std::int64_t> progress_revisions;
    std::int64_t workers_revision = 0;
  };
  using LeaderPointer = std::shared_ptr<Leader>;

  // A process that may hold a term. `lease_until` is what the store knows,
  // `lease_valid_until` what the process knows.
  struct Instance {
    int zone = 0;
    bool is_alive = true;
    bool has_lease = false;
    std::int64_t start_count = 1;
    std::int64_t registered = 0;  // start count in the store; 0: none
    MonotonicTime registered_at;
    MonotonicTime lease_until;
    MonotonicTime lease_valid_until;
    MonotonicTime next_renewal;
    MonotonicTime next_mirror;
    MonotonicTime store_unreachable_until;
    MonotonicTime paused_until;
    std::optional<Milliseconds> next_pause;  // begins with its next orders
    std::map<WorkerName, MonotonicTime> broken_links;
    LeaderPointer leader;
  };

  // What the store keeps of the terms.
  struct TermRecord {
    bool is_held = false;
    MonotonicTime lease_until;
    std::optional<Process> holder;  // none: released
    std::int64_t number = 0;
    std::int64_t fence = 0;
    std::vector<Process> predecessors;
  };

  // How an order left the process of its scheduler.
  struct Departure {
    int target = 0;  // as of TargetProcess()
    bool is_timed_out = false;
  };

  // A report that waits for an end.
  struct HeldReport {
    AskReport order;
    int target = 0;
    MonotonicTime until;
  };

  struct ListedWorker {
    WorkerListing listing;
    MonotonicTime expires_at;
  };

  void Step();
  void CheckIn(Host* host);
  void TickInstance(int index);
  void ReadMirror(int index);
  void MaybeBeginTerm();
  bool MayBeginTerm(int index) const;
  void BeginTerm(int index);
  void EndTerm(Instance* instance, const std::string& reason);
  bool HasTerminated(const Process& process, int asking) const;
  void Load(const LeaderPointer& leader);
  void Pass(const LeaderPointer& leader);
  void PersistWorkers(const LeaderPointer& leader);
  void CheckMachines(const LeaderPointer& leader);
  void Save(const LeaderPointer& leader);
  void SaveBatch(const LeaderPointer& leader,
                 const std::vector<std::pair<JobId, JobProgress>>& batch);
  // Carries out a write at the store, perhaps later and without an answer.
  // Returns whether it was carried out now.
  bool Write(const LeaderPointer& leader, std::function<bool()> write);
  bool MayCommit(const LeaderPointer& leader) const;

  void SendStart(const LeaderPointer& leader, const StartRun& order);
  void SendStop(const LeaderPointer& leader, const StopRun& order);
  void SendAsk(const LeaderPointer& leader, const AskReport& order);
  // Start count of the process that gets an order sent now; 0: none.
  static int TargetProcess(const Host& host);
  // Calls `arrive` at the worker. The order leaves late if the process of the
  // leader is paused.
  void Depart(const LeaderPointer& leader,
              Host* host,
              std::function<void(const Departure&)> arrive);
  // Calls `answer` once the report is due, without one if the process ended.
  void HoldReport(const LeaderPointer& leader,
                  const HeldReport& held,
                  std::function<void(const std::optional<RunReport>&)> answer);
  // Executes an order that gets no answer, unless the worker restarts first.
  void ExecuteLate(Host* host, std::function<void()> execute);
  StartOutcome ExecuteStart(const LeaderPointer& leader, const StartRun& order);
  // Calls `handle` in the process of the leader if that still runs.
  void Answer(const LeaderPointer& leader,
              Duration delay,
              std::function<void()> handle);
  std::optional<RunReport> ExecuteAsk(const LeaderPointer& leader,
                                      const AskReport& order);

  void InjectFault();
  void InjectOptionalFault();
  void PauseInstance(int index, Milliseconds duration);
  void StopStore(Milliseconds duration);
  void RestartWorker(Host* host);
  // Starts the next process of a worker, perhaps at another address.
  void BootWorker(Host* host);
  void CutZone(int zone, Milliseconds duration);
  void CutStoreLink(int instance, Milliseconds duration);
  void BreakLinks(int instance);
  void KillInstance(int index);
  void ReleaseTerm(int index);
  // The instance whose term is the latest, or that of an earlier term.
  int LeadingInstance() const;
  int ReplacedInstance() const;

  void Check();
  void NoteEnds(Host* host);
  void Fail(const std::string& text);
  void Trace(const std::string& line);
  void TraceReport(const Leader& leader,
                   const AskReport& order,
                   const RunReport& report);
  void TraceDecisions(Leader* leader);
  bool IsReplaced(const Leader& leader) const;
  bool IsPaused(int instance) const;
  // Updates whether the scheduler is the only one, as before each answer.
  void UpdateSole(const LeaderPointer& leader);
  std::map<JobId, int> CountRuns() const;
  void AddJobs();
  bool IsCutOff(int zone) const;
  bool ReachesStore(const Instance& instance) const;
  // Whether messages pass between the instance and the worker.
  bool IsLinked(const Leader& leader, const Host& host) const;
  MonotonicTime Now() const;
  // The time by the clock of the worker's process.
  MonotonicTime TimeAt(const Host& host) const;
  Milliseconds Upto(std::uint64_t bound);
  Milliseconds Delay();

  Random random;
  TakeoverOptions options;
  EventQueue queue;
  std::map<WorkerName, Host> hosts;
  std::vector<Instance> instances;
  std::vector<MonotonicTime> cut_until;  // by zone
  // The store.
  TermRecord record;
  std::vector<AcceptedJob> jobs;
  std::map<JobId, JobProgress> progress;
  std::vector<WorkerListing> remembered;
  std::map<WorkerName, ListedWorker> listed;
  MonotonicTime store_away_until;
  MonotonicTime no_faults_until;
  std::int64_t revision = 0;
  std::map<JobId, std::int64_t> progress_revisions;
  std::int64_t workers_revision = 0;
  MonotonicTime vacant_since;
  Milliseconds vacant_for{0};

  std::map<TaskRef, int> starts;
  // Which scheduler ordered the latest start.
  std::string starter;
  std::set<JobId> lasting_jobs;
  std::set<TaskRef> acknowledged_done;
  Totals* totals = nullptr;
  std::string failure;
  std::vector<std::string> lines;
};

}  // namespace daisyroad

#endif  // SOURCE_UNITTESTS_JOBS_TAKEOVER_SIMULATION_H_
