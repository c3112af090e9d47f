#ifndef SOURCE_CORE_SITE_POOL_LEAD_STATE_H_
#define SOURCE_CORE_SITE_POOL_LEAD_STATE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "Core/Common/result.h"
#include "Core/Jobs/pool_scheduler.h"
#include "Core/Platform/machine_client.h"
#include "Core/Platform/revision_store.h"
#include "Core/Site/pool_lead.h"
#include "Core/Site/prefix_mirror.h"

namespace daisyroad {

// Inside of a PoolLead, shared with the calls in progress. Its functions are in
// pool_lead.cc (turns and time), pool_lead_store.cc, pool_lead_workers.cc and
// pool_lead_orders.cc.
struct PoolLead::State : std::enable_shared_from_this<State> {
  State(const PoolLeadContext& context, const PoolName& pool, const Term& term);

  void Start();
  void LoadWorkers();
  void AdoptWorkers(const StoreItem& item);
  // Stores the workers before they are used, for the scheduler of a later term.
  void RememberWorkers(MonotonicTime now);
  // The list of machines tells when the life of a silent worker is over, long
  // before its leases are.
  void LookAtMachines(MonotonicTime now);
  void CompareWithMachines(const WorkerName& worker,
                           const std::vector<Machine>& machines);
  void LoadProgress(const std::string& after);
  void AdoptProgress(const StorePage& page);
  void OnInbox(const std::vector<StoreChange>& changes);
  void AddJob(const std::string& value, const std::string& key);
  void Tick();
  void SchedulePump();
  void Pump();
  const WorkerListing* Find(const WorkerName& worker) const;
  void Count(const char* name, const std::string& labels);
  void Send(const Order& order);
  void SendStart(const StartRun& order);
  void SendStop(const StopRun& order);
  void SendAdvice(const AskAdvice& question);
  void SendPace(const PaceRun& order);
  void SendReport(const AskReport& order);
  void OnAnswer(const WorkerName& worker, const Status& status);
  // A worker has taken orders of a later term: this one is over.
  void EndByFence(const WorkerName& worker);
  void Save(MonotonicTime now);
  void OnSaveResult(const std::vector<JobId>& jobs,
                    const Result<TransactionResult>& result);
  // A write whose answer was lost shows up as a conflict with what it wrote.
  void OnSaveConflict(const std::vector<JobId>& jobs,
                      const std::vector<StoreItem>& items);
  void Forget(MonotonicTime now);
  bool IsReady() const { return this->is_inbox_loaded && !this->is_fenced; }

  PoolLeadContext context;
  PoolName pool;
  Term term;
  PoolScheduler scheduler;
  std::unique_ptr<PrefixMirror> inbox;
  std::map<WorkerName, WorkerListing> listing;
  std::map<WorkerName, WorkerListing> known_workers;
  // As stored, and its revision.
  std::string remembered_value;
  std::int64_t remembered_revision = 0;
  bool is_remembering = false;
  MonotonicTime next_remember;
  std::map<WorkerName, MachineName> machine_of;
  // Number of lists in a row without the machine of a silent worker.
  std::map<WorkerName, int> absences;
  bool is_looking = false;
  MonotonicTime next_look;
  MonotonicTime begun_at = std::chrono::steady_clock::now();
  std::map<JobId, JobProgress> progress;
  std::map<JobId, std::int64_t> progress_revisions;
  std::set<JobId> cancels;
  std::map<JobId, MonotonicTime> final_since;
  MonotonicTime next_forget;
  MonotonicTime vacate_until;
  bool is_progress_loaded = false;
  bool is_inbox_loaded = false;
  bool is_pump_scheduled = false;
  Duration last_pump_duration{0};
  bool is_saving = false;
  bool is_fenced = false;
  bool is_stopped = false;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_SITE_POOL_LEAD_STATE_H_
