#ifndef SOURCE_CORE_SITE_POOL_LEADER_STATE_H_
#define SOURCE_CORE_SITE_POOL_LEADER_STATE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Core/Common/latency_histogram.h"
#include "Core/Common/result.h"
#include "Core/Jobs/pool_scheduler.h"
#include "Core/Platform/machine_client.h"
#include "Core/Platform/revision_store.h"
#include "Core/Site/pool_activity.h"
#include "Core/Site/pool_leader.h"
#include "Core/Site/prefix_mirror.h"
#include "Core/Site/standing_gauges.h"

namespace daisyroad {

struct PersistedWorker;

// Implementation of a PoolLeader, shared with pending callbacks. Its functions
// are defined in pool_leader.cc (scheduling passes and timers),
// pool_leader_store.cc, pool_leader_workers.cc and pool_leader_orders.cc.
struct PoolLeader::State : std::enable_shared_from_this<State> {
  // Timeout of the reads with which a term begins.
  static constexpr Milliseconds kLoadTimeout{1500};

  State(const PoolLeaderContext& context,
        const PoolName& pool,
        const Term& term);

  void Start();
  void LoadWorkers();
  void AdoptWorkers(const StoreItem& item);
  // Stores the workers, before they are used, for the scheduler of a later
  // term.
  void PersistWorkers(MonotonicTime now);
  // Tells the scheduler which workers the store has at their present address.
  void SetPersisted(const std::vector<PersistedWorker>& workers);
  // Checks silent workers against the list of machines, which shows that a
  // worker has terminated long before its leases expire.
  void CheckMachines(MonotonicTime now);
  void CheckSilentWorker(const WorkerName& worker,
                         const std::vector<Machine>& machines,
                         MonotonicTime requested_at);
  void LoadProgress(const std::string& after);
  void AdoptProgress(const StorePage& page);
  void OnInbox(const std::vector<StoreChange>& changes);
  void AddJob(const std::string& value, const std::string& key);
  void Tick();
  void SchedulePass();
  void RunPass();
  // Tells the scheduler whether another one may lead; to be called before it
  // handles an event, since the process may have been paused.
  void UpdateSole() { this->scheduler.SetSole(this->context.is_lease_valid()); }
  void LogActivity(MonotonicTime now);
  void CountOverload(const PoolOverload& overload);
  const WorkerListing* FindWorker(const WorkerName& worker) const;
  void Count(const char* name, const std::string& labels);
  void Send(const Order& order);
  void SendStart(const StartRun& order);
  void SendStop(const StopRun& order);
  void RequestAdvice(const AskAdvice& question);
  void SendPace(const PaceRun& order);
  void RequestReport(const AskReport& order);
  void OnRequestStatus(const WorkerName& worker,
                       const Status& status,
                       MonotonicTime requested_at);
  // Ends this term because a worker has accepted orders of a later one.
  void OnFenced(const WorkerName& worker);
  void Save(MonotonicTime now);
  // Returns false if there is nothing to store now.
  bool SaveBatch(MonotonicTime now);
  void OnSaveResult(const std::vector<JobId>& jobs,
                    const Result<TransactionResult>& result);
  // Adopts the stored revisions. A write whose answer was lost also shows up as
  // a conflict, with its own result.
  void OnSaveConflict(const std::vector<JobId>& jobs,
                      const std::vector<StoreItem>& items);
  void DeleteExpiredJobs(MonotonicTime now);
  bool IsReady() const { return this->is_inbox_loaded && !this->is_fenced; }

  PoolLeaderContext context;
  PoolName pool;
  Term term;
  PoolScheduler scheduler;
  std::unique_ptr<PrefixMirror> inbox;
  std::map<WorkerName, WorkerListing> listing;
  std::map<WorkerName, WorkerListing> known_workers;
  // Worker record as last stored, if known, and its revision.
  std::optional<std::string> persisted_value;
  std::int64_t persisted_revision = 0;
  bool is_persisting_workers = false;
  // The record of earlier schedulers is in no known form.
  bool is_record_unreadable = false;
  MonotonicTime next_persist;
  std::map<WorkerName, MachineName> machine_of;
  // Number of consecutive lists without the machine of a silent worker.
  std::map<WorkerName, int> absences;
  bool is_listing_machines = false;
  MonotonicTime next_machine_check;
  MonotonicTime begun_at = std::chrono::steady_clock::now();
  std::map<JobId, JobProgress> progress;
  std::map<JobId, std::int64_t> progress_revisions;
  std::set<JobId> cancelled_jobs;
  std::map<JobId, MonotonicTime> final_since;
  MonotonicTime next_deletion;
  MonotonicTime vacate_until;
  // Workers that planned work will empty later, as last named.
  std::set<WorkerName> due;
  MonotonicTime due_until;
  bool is_progress_loaded = false;
  bool is_inbox_loaded = false;
  bool is_pass_scheduled = false;
  Duration last_pass_duration{0};
  PoolActivity activity;
  StandingGauges standing_gauges;
  std::int64_t delayed_counted = 0;
  const LatencyHistogram start_latency;
  const LatencyHistogram save_latency;
  int saves_in_progress = 0;
  bool is_fenced = false;
  bool is_stopped = false;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_SITE_POOL_LEADER_STATE_H_
