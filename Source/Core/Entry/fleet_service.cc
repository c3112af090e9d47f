#include "Core/Entry/fleet_service.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "Core/Common/hash.h"
#include "Core/Common/logging.h"
#include "Core/Entry/entry_context.h"
#include "Core/Entry/fleet_plan.h"
#include "Core/Entry/missing_records.h"
#include "Core/Entry/worker_directory.h"
#include "Core/Maintenance/maintenance_planner.h"
#include "Core/Maintenance/wave_executor.h"
#include "Core/Transport/event_loop.h"

namespace daisyroad {
namespace {

// Returns true if the action starts an operation, which requires confirmed
// authority. Operations that have started continue without it.
bool StartsOperation(const FleetAction& action) {
  if (const WriteInstance* const write = std::get_if<WriteInstance>(&action)) {
    return write->not_after != MonotonicTime::max() ||
           write->record.step == InstanceStep::kRequested;
  }
  const WriteBudget* const budget = std::get_if<WriteBudget>(&action);
  return budget != nullptr && budget->not_after != MonotonicTime::max();
}

}  // namespace

FleetService::FleetService(EntryContext* entry_context,
                           FleetSources fleet_sources,
                           WorkerDirectory* worker_directory)
    : context(entry_context),
      self(entry_context->self),
      sources(std::move(fleet_sources)),
      directory(worker_directory),
      fleet_records([this](const WorkerName& worker, const PoolName& pool) {
        this->directory->SetPool(worker, pool);
      }),
      store(entry_context->store, &this->fleet_records, this->sources.now),
      observer(entry_context->workers, worker_directory, this->sources.now),
      actuator(entry_context, worker_directory, &this->observer, &this->store),
      fleet_requests(entry_context,
                     this->sources,
                     &this->fleet_records,
                     &this->store) {}

void FleetService::Start() {
  this->context->loop->Every(kTick, [this]() { this->Tick(); });
}

void FleetService::Tick() {
  if (this->is_busy || this->sources.declaration().pools.empty()) {
    return;
  }
  if (this->IsLeader()) {
    this->BeginRound(0);
  } else {
    this->FetchRecordsFromLeader();
  }
}

EntryName FleetService::Leader() const {
  std::vector<std::string> names;
  for (const EntryName& name : this->sources.live_instances()) {
    names.push_back(name.str());
  }
  std::sort(names.begin(), names.end());
  return EntryName(names[RendezvousIndex("fleet", names)]);
}

void FleetService::FetchRecordsFromLeader() {
  const MonotonicTime now = this->sources.now();
  if (now - this->leader_queried_at < kReadPeriod) {
    return;
  }
  this->leader_queried_at = now;
  this->is_busy = true;
  Json::Value params(Json::objectValue);
  params["digest"] = this->fleet_records.Digest();
  this->sources.fetch_records(this->Leader(), params,
                              [this](const Result<Json::Value>& answer) {
                                this->is_busy = false;
                                this->OnLeaderRecords(answer);
                              });
}

void FleetService::OnLeaderRecords(const Result<Json::Value>& answer) {
  const bool is_valid = answer.ok() && answer.value().isObject() &&
                        answer.value()["loaded"].isBool() &&
                        answer.value()["loaded"].asBool();
  if (is_valid) {
    if (answer.value().isMember("entries")) {
      const Status applied =
          this->fleet_records.ApplyEntries(answer.value()["entries"]);
      if (!applied.ok()) {
        CLOG(ERROR, kFleetLog) << applied.error().ToString();
      }
    }
    this->has_loaded_records = true;
  } else if (this->sources.now() - this->read_attempted_at >= kFallbackPeriod) {
    this->ReadStore([]() {});
  }
}

void FleetService::ReadStore(std::function<void()> callback) {
  this->is_busy = true;
  const MonotonicTime sent = this->sources.now();
  this->read_attempted_at = sent;
  this->store.ReadAll(
      [this, sent, callback = std::move(callback)](const Status& read) {
        this->is_busy = false;
        if (!read.ok()) {
          CLOG(DEBUG, kFleetLog) << read.error().ToString();
          return;
        }
        this->read_sent_at = sent;
        this->has_loaded_records = true;
        callback();
      });
}

void FleetService::BeginRound(int follow_up_rounds) {
  const MonotonicTime now = this->sources.now();
  if (this->read_sent_at != MonotonicTime() &&
      now - this->read_sent_at < kReadPeriod) {
    this->ContinueRound(follow_up_rounds);
    return;
  }
  this->ReadStore(
      [this, follow_up_rounds]() { this->ContinueRound(follow_up_rounds); });
}

void FleetService::ContinueRound(int follow_up_rounds) {
  this->is_busy = true;
  const std::shared_ptr<FleetSnapshot> snapshot =
      std::make_shared<FleetSnapshot>();
  const Declaration& declaration = this->sources.declaration();
  snapshot->ledger = this->fleet_records.ledger();
  snapshot->budgets = this->fleet_records.budgets();
  snapshot->read_sent_at = this->read_sent_at;
  snapshot->topology = TopologyOf(declaration);
  snapshot->window_open =
      !this->fleet_records.paused() &&
      IsWindowOpen(declaration.maintenance, this->sources.wall_clock());
  this->observer.Probe(this->WorkersToProbe(*snapshot),
                       [this, snapshot, follow_up_rounds]() {
                         this->EndRound(snapshot, follow_up_rounds);
                       });
}

void FleetService::EndRound(const std::shared_ptr<FleetSnapshot>& snapshot,
                            int follow_up_rounds) {
  snapshot->observation = this->observer.Observe(
      snapshot->ledger, this->sources.zones_out(),
      this->sources.declaration().maintenance.patience, snapshot->read_sent_at);
  snapshot->unplanned = DisruptionBudget::UnplannedDown(
      snapshot->ledger, snapshot->topology, snapshot->observation);
  this->actuator.Apply(this->Decide(*snapshot), snapshot,
                       [this, follow_up_rounds](bool written) {
                         this->is_busy = false;
                         if (written && follow_up_rounds < kMaxFollowUpRounds) {
                           this->BeginRound(follow_up_rounds + 1);
                         }
                       });
}

std::vector<FleetAction> FleetService::Decide(
    const FleetSnapshot& snapshot) const {
  const Declaration& declaration = this->sources.declaration();
  const bool is_authority_confirmed = this->sources.is_authority_confirmed();
  std::vector<FleetAction> actions;
  if (is_authority_confirmed) {
    actions = MissingRecords(this->fleet_records, *this->directory, declaration,
                             this->sources.wall_clock());
    // Decisions based on records that are about to change would be stale.
    if (!actions.empty()) {
      return actions;
    }
  }
  const MaintenancePlan plan = MaintenancePlanner::Plan(MaintenanceInputOf(
      declaration, snapshot.ledger, this->sources.wall_clock()));
  const WaveExecutor executor(this->self, declaration.maintenance.patience);
  const ExecutorInput input{snapshot.ledger, snapshot.budgets,
                            snapshot.observation, snapshot.topology,
                            snapshot.window_open};
  for (FleetAction& action : executor.Next(plan, input, this->sources.now())) {
    if (is_authority_confirmed || !StartsOperation(action)) {
      actions.push_back(std::move(action));
    }
  }
  return actions;
}

std::vector<WorkerName> FleetService::WorkersToProbe(
    const FleetSnapshot& snapshot) const {
  bool probes_all = this->IsMaintenanceDue(snapshot);
  std::vector<WorkerName> names;
  std::vector<WorkerName> in_operation;
  for (const InstanceTable::value_type& entry : snapshot.ledger.instances()) {
    names.push_back(entry.first);
    if (entry.second.value.Busy()) {
      in_operation.push_back(entry.first);
    }
    probes_all =
        probes_all || entry.second.value.step == InstanceStep::kRequested;
  }
  // Starting an operation requires a recent probe of every worker that counts
  // toward a budget.
  if (probes_all) {
    return names;
  }
  for (const WorkerName& name :
       this->observer.LeastRecentlyProbed(kIdleProbesPerRound)) {
    if (std::find(in_operation.begin(), in_operation.end(), name) ==
        in_operation.end()) {
      in_operation.push_back(name);
    }
  }
  return in_operation;
}

bool FleetService::IsMaintenanceDue(const FleetSnapshot& snapshot) const {
  const std::int64_t cycle = MaintenanceCycle(
      this->sources.declaration().maintenance, this->sources.wall_clock());
  return snapshot.window_open &&
         std::any_of(snapshot.ledger.instances().begin(),
                     snapshot.ledger.instances().end(),
                     [cycle](const InstanceTable::value_type& entry) {
                       return entry.second.value.maintained_cycle < cycle;
                     });
}

void FleetService::FetchRunning(
    std::function<void(const Json::Value&)> callback) {
  if (this->IsLeader()) {
    callback(this->observer.RunningCounts());
    return;
  }
  Json::Value params(Json::objectValue);
  params["digest"] = this->fleet_records.Digest();
  params["running"] = true;
  this->sources.fetch_records(
      this->Leader(), params,
      [callback = std::move(callback)](const Result<Json::Value>& answer) {
        const bool is_valid = answer.ok() && answer.value().isObject() &&
                              answer.value()["running"].isObject();
        callback(is_valid ? answer.value()["running"]
                          : Json::Value(Json::objectValue));
      });
}

Json::Value FleetService::ServeRecords(const Json::Value& params) const {
  Json::Value answer(Json::objectValue);
  const std::string digest = this->fleet_records.Digest();
  answer["digest"] = digest;
  // Only the leader reports its records as loaded. Otherwise two instances
  // could keep serving stale records to each other.
  answer["loaded"] = this->has_loaded_records && this->IsLeader();
  const bool is_object = params.isObject();
  if (!is_object || !params["digest"].isString() ||
      params["digest"].asString() != digest) {
    answer["entries"] = this->fleet_records.Entries();
  }
  if (is_object && params["running"].isBool() && params["running"].asBool()) {
    answer["running"] = this->observer.RunningCounts();
  }
  return answer;
}

}  // namespace daisyroad
