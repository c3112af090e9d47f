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

// Whether the action begins something, which needs confirmed authority; what
// has begun is carried on without it.
bool Begins(const FleetAction& action) {
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
  if (this->busy || this->sources.declaration().pools.empty()) {
    return;
  }
  if (this->IsChosen()) {
    this->BeginRound(0);
  } else {
    this->Follow();
  }
}

EntryName FleetService::Chosen() const {
  std::vector<std::string> names;
  for (const EntryName& name : this->sources.live()) {
    names.push_back(name.str());
  }
  std::sort(names.begin(), names.end());
  return EntryName(names[RendezvousIndex("fleet", names)]);
}

void FleetService::Follow() {
  const MonotonicTime now = this->sources.now();
  if (now - this->asked_at < kReadPeriod) {
    return;
  }
  this->asked_at = now;
  this->busy = true;
  Json::Value params(Json::objectValue);
  params["digest"] = this->fleet_records.Digest();
  this->sources.ask(this->Chosen(), params,
                    [this](const Result<Json::Value>& answer) {
                      this->busy = false;
                      this->OnAnswer(answer);
                    });
}

void FleetService::OnAnswer(const Result<Json::Value>& answer) {
  const bool useful = answer.ok() && answer.value().isObject() &&
                      answer.value()["loaded"].isBool() &&
                      answer.value()["loaded"].asBool();
  if (useful) {
    if (answer.value().isMember("entries")) {
      const Status applied =
          this->fleet_records.ApplyEntries(answer.value()["entries"]);
      if (!applied.ok()) {
        CLOG(ERROR, kFleetLog) << applied.error().ToString();
      }
    }
    this->loaded = true;
  } else if (this->sources.now() - this->tried_at >= kFallbackPeriod) {
    this->ReadStore([]() {});
  }
}

void FleetService::ReadStore(std::function<void()> callback) {
  this->busy = true;
  const MonotonicTime sent = this->sources.now();
  this->tried_at = sent;
  this->store.ReadAll(
      [this, sent, callback = std::move(callback)](const Status& read) {
        this->busy = false;
        if (!read.ok()) {
          CLOG(DEBUG, kFleetLog) << read.error().ToString();
          return;
        }
        this->read_at = sent;
        this->loaded = true;
        callback();
      });
}

void FleetService::BeginRound(int chained) {
  const MonotonicTime now = this->sources.now();
  if (this->read_at != MonotonicTime() && now - this->read_at < kReadPeriod) {
    this->ContinueRound(chained);
    return;
  }
  this->ReadStore([this, chained]() { this->ContinueRound(chained); });
}

void FleetService::ContinueRound(int chained) {
  this->busy = true;
  const std::shared_ptr<FleetSnapshot> snapshot =
      std::make_shared<FleetSnapshot>();
  const Declaration& declaration = this->sources.declaration();
  snapshot->ledger = this->fleet_records.ledger();
  snapshot->budgets = this->fleet_records.budgets();
  snapshot->read_at = this->read_at;
  snapshot->topology = TopologyOf(declaration);
  snapshot->window_open =
      !this->fleet_records.paused() &&
      IsWindowOpen(declaration.maintenance, this->sources.wall_clock());
  this->observer.Probe(this->ToProbe(*snapshot), [this, snapshot, chained]() {
    this->EndRound(snapshot, chained);
  });
}

void FleetService::EndRound(const std::shared_ptr<FleetSnapshot>& snapshot,
                            int chained) {
  snapshot->observation = this->observer.Observe(
      snapshot->ledger, this->sources.zones_out(),
      this->sources.declaration().maintenance.patience, snapshot->read_at);
  snapshot->unplanned = DisruptionBudget::UnplannedDown(
      snapshot->ledger, snapshot->topology, snapshot->observation);
  this->actuator.Apply(this->Decide(*snapshot), snapshot,
                       [this, chained](bool written) {
                         this->busy = false;
                         if (written && chained < kMaxChained) {
                           this->BeginRound(chained + 1);
                         }
                       });
}

std::vector<FleetAction> FleetService::Decide(
    const FleetSnapshot& snapshot) const {
  const Declaration& declaration = this->sources.declaration();
  const bool confirmed = this->sources.confirmed();
  std::vector<FleetAction> actions;
  if (confirmed) {
    actions = MissingRecords(this->fleet_records, *this->directory, declaration,
                             this->sources.wall_clock());
    // The decisions below would be made on records that are about to change.
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
    if (confirmed || !Begins(action)) {
      actions.push_back(std::move(action));
    }
  }
  return actions;
}

std::vector<WorkerName> FleetService::ToProbe(
    const FleetSnapshot& snapshot) const {
  bool all = this->IsMaintenanceDue(snapshot);
  std::vector<WorkerName> names;
  std::vector<WorkerName> in_operation;
  for (const InstanceTable::value_type& entry : snapshot.ledger.instances()) {
    names.push_back(entry.first);
    if (entry.second.value.Busy()) {
      in_operation.push_back(entry.first);
    }
    all = all || entry.second.value.step == InstanceStep::kRequested;
  }
  // A beginning needs a fresh look at every worker that a budget counts.
  if (all) {
    return names;
  }
  for (const WorkerName& name : this->observer.Oldest(kIdleProbes)) {
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
  if (this->IsChosen()) {
    callback(this->observer.RunningCounts());
    return;
  }
  Json::Value params(Json::objectValue);
  params["digest"] = this->fleet_records.Digest();
  params["running"] = true;
  this->sources.ask(
      this->Chosen(), params,
      [callback = std::move(callback)](const Result<Json::Value>& answer) {
        const bool useful = answer.ok() && answer.value().isObject() &&
                            answer.value()["running"].isObject();
        callback(useful ? answer.value()["running"]
                        : Json::Value(Json::objectValue));
      });
}

Json::Value FleetService::ServeRecords(const Json::Value& params) const {
  Json::Value answer(Json::objectValue);
  const std::string digest = this->fleet_records.Digest();
  answer["digest"] = digest;
  // Two instances must not take old records from each other for good.
  answer["loaded"] = this->loaded && this->IsChosen();
  const bool object = params.isObject();
  if (!object || !params["digest"].isString() ||
      params["digest"].asString() != digest) {
    answer["entries"] = this->fleet_records.Entries();
  }
  if (object && params["running"].isBool() && params["running"].asBool()) {
    answer["running"] = this->observer.RunningCounts();
  }
  return answer;
}

}  // namespace daisyroad
