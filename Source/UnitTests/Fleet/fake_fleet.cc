#include "UnitTests/Fleet/fake_fleet.h"

#include <variant>

namespace daisyroad {
namespace {

constexpr int kEntries = 3;
constexpr int kListLag = 5;

ServiceTopology MakeTopology() {
  ServiceTopology topology;
  topology.Add(ServiceName("s0"), PoolName("p0"));
  topology.Add(ServiceName("s0"), PoolName("p1"));
  topology.Add(ServiceName("s1"), PoolName("p1"));
  topology.Add(ServiceName("s1"), PoolName("p2"));
  topology.Add(ServiceName("s2"), PoolName("p2"));
  return topology;
}

InstanceRecord MakeInstance(int index) {
  InstanceRecord record;
  record.worker = WorkerName("w" + std::to_string(index));
  record.pool = PoolName("p" + std::to_string(index % 3));
  record.zone = ZoneName("z" + std::to_string(index % 2));
  record.rack = RackName("r" + std::to_string(index / 4));
  return record;
}

}  // namespace

FakeFleet::FakeFleet(std::uint64_t seed, Policy decide)
    : checker(MakeTopology()),
      services(MakeTopology()),
      random(seed),
      policy(std::move(decide)) {
  const int count = 9 + static_cast<int>(this->random.Below(3));
  for (int i = 0; i < count; ++i) {
    const InstanceRecord record = MakeInstance(i);
    this->records[record.worker] = {record, ++this->revision};
    this->workers[record.worker].running =
        static_cast<int>(this->random.Below(12));
  }
  for (const auto& service : this->services.services()) {
    BudgetRecord budget;
    budget.service = service.first;
    budget.allowed = 1 + static_cast<std::int64_t>(this->random.Below(3));
    this->budgets[service.first] = {budget, ++this->revision};
  }
  this->entries.resize(kEntries);
  for (int i = 0; i < kEntries; ++i) {
    this->entries[i].view.name = EntryName("e" + std::to_string(i) + "-0");
    this->Refresh(this->entries[i]);
  }
}

void FakeFleet::Run(int ticks, bool faults) {
  if (!faults) {
    this->zones_out.clear();
    this->outage_left = 0;
  }
  for (int tick = 0; tick < ticks && this->checker.failures.empty(); ++tick) {
    this->now += std::chrono::seconds(1);
    if (faults) {
      this->InjectFaults();
    }
    for (auto& worker : this->workers) {
      worker.second.Tick(kListLag);
    }
    for (Entry& entry : this->entries) {
      this->Act(entry, faults);
    }
  }
}

void FakeFleet::InjectFaults() {
  this->outage_left -= this->outage_left > 0 ? 1 : 0;
  if (this->random.Chance(0.01)) {
    this->outage_left = 1 + static_cast<int>(this->random.Below(15));
  }
  if (this->random.Chance(0.01)) {
    const ZoneName zone("z" + std::to_string(this->random.Below(2)));
    if (this->zones_out.erase(zone) == 0) {
      this->zones_out.insert(zone);
    }
  }
  if (this->random.Chance(0.04)) {
    this->FailWorkers();
  }
}

void FakeFleet::FailWorkers() {
  const int index = static_cast<int>(this->random.Below(this->workers.size()));
  const InstanceRecord cause = MakeInstance(index);
  const std::uint64_t scope = this->random.Below(8);
  for (auto& entry : this->workers) {
    const InstanceRecord& record = this->records.at(entry.first).value;
    if (record.worker == cause.worker ||
        (scope == 1 && record.rack == cause.rack) ||
        (scope == 0 && record.zone == cause.zone)) {
      entry.second.Fail(1 + static_cast<int>(this->random.Below(20)));
    }
  }
}

TruthSnapshot FakeFleet::Truth() const {
  TruthSnapshot truth;
  truth.time = this->now;
  for (const auto& entry : this->records) {
    const InstanceRecord& record = entry.second.value;
    const FakeWorker& worker = this->workers.at(entry.first);
    if (worker.up && worker.listed && !this->zones_out.contains(record.zone)) {
      continue;
    }
    for (const ServiceName& service : this->services.ServicesOf(record.pool)) {
      truth.unplanned[service].insert(entry.first);
    }
  }
  for (const auto& entry : this->budgets) {
    for (const auto& charge : entry.second.value.charges) {
      truth.charged[entry.first].insert(charge.second.worker);
    }
  }
  return truth;
}

void FakeFleet::Refresh(Entry& entry) {
  for (const auto& record : this->records) {
    entry.view.ledger.Apply(record.second);
  }
  entry.view.budgets = this->budgets;
  entry.view.observation.observed_at = this->now;
  for (const auto& worker : this->workers) {
    entry.view.observation.workers[worker.first] = worker.second.Observe();
  }
  entry.view.observation.zones_out = this->zones_out;
  entry.truth = this->Truth();
}

// Watches of different keys are not in step: budgets may be newer than
// instances.
void FakeFleet::RefreshBudgets(Entry& entry) {
  entry.view.budgets = this->budgets;
  entry.truth.charged = this->Truth().charged;
}

void FakeFleet::Crash(Entry& entry) {
  entry.queue.clear();
  entry.view.ledger = PoolLedger();
  entry.view.name = EntryName(entry.view.name.str().substr(0, 3) +
                              std::to_string(++entry.starts));
  this->Refresh(entry);
}

void FakeFleet::Act(Entry& entry, bool faults) {
  if (!faults) {
    entry.paused = 0;
  }
  if (entry.paused > 0) {
    --entry.paused;
    return;
  }
  if (this->outage_left == 0 && (!faults || this->random.Chance(0.7))) {
    this->Refresh(entry);
  } else if (this->outage_left == 0 && this->random.Chance(0.5)) {
    this->RefreshBudgets(entry);
  }
  if (entry.queue.empty()) {
    for (FleetAction& action :
         this->policy(entry.view, this->now, this->random)) {
      entry.queue.emplace_back(std::move(action), entry.truth);
    }
  }
  while (!entry.queue.empty()) {
    if (faults && this->random.Chance(0.03)) {
      entry.paused = 1 + static_cast<int>(this->random.Below(25));
      return;
    }
    if (faults && this->random.Chance(0.01)) {
      this->Crash(entry);
      return;
    }
    const std::pair<FleetAction, TruthSnapshot> next = entry.queue.front();
    entry.queue.pop_front();
    this->Execute(next.first, next.second);
  }
}

void FakeFleet::Execute(const FleetAction& action, const TruthSnapshot& truth) {
  if (const auto* instance = std::get_if<WriteInstance>(&action)) {
    const bool in_time = this->now <= instance->not_after;
    if (!in_time || this->outage_left > 0) {
      return;
    }
    const Versioned<InstanceRecord>& stored =
        this->records.at(instance->record.worker);
    const bool expected = stored.version == instance->expected_version;
    // The entry instance may have sent the same change before.
    const bool repeated = stored.value.HasChange(instance->change);
    // The request may be lost on the way, or the answer on the way back.
    const bool request_lost = this->random.Chance(0.03);
    if (!request_lost) {
      this->Write(*instance, truth);
    }
    if (request_lost || this->random.Chance(0.05)) {
      ++this->lost_answers;
      const WriteOutcome outcome = PoolLedger::JudgeWrite(*instance, stored);
      const bool applied = repeated || (expected && !request_lost);
      if ((outcome == WriteOutcome::kApplied) != applied) {
        this->checker.Fail("lost answer judged wrongly");
      }
    }
  } else if (const auto* budget = std::get_if<WriteBudget>(&action)) {
    if (this->now <= budget->not_after && this->outage_left == 0) {
      this->Write(*budget, truth);
    }
  } else if (const auto* drain = std::get_if<DrainWorker>(&action)) {
    this->workers.at(drain->worker).Drain(drain->incarnation);
  } else if (const auto* checkpoint = std::get_if<CheckpointWorker>(&action)) {
    this->workers.at(checkpoint->worker).Checkpoint(checkpoint->incarnation);
  } else if (const auto* reboot = std::get_if<RebootWorker>(&action)) {
    const int late = this->random.Chance(0.1) ? 40 : 6;
    if (this->workers.at(reboot->worker).Reboot(reboot->incarnation, late)) {
      this->checker.OnReboot(this->records.at(reboot->worker).value.operation);
    }
  }
}

void FakeFleet::Write(const WriteInstance& write, const TruthSnapshot& truth) {
  Versioned<InstanceRecord>& stored = this->records.at(write.record.worker);
  if (stored.version != write.expected_version) {
    return;
  }
  this->checker.OnInstance(stored.value, write.record, this->budgets, truth,
                           this->workers.at(write.record.worker).incarnation,
                           this->now);
  stored = {write.record, ++this->revision};
}

void FakeFleet::Write(const WriteBudget& write, const TruthSnapshot& truth) {
  Versioned<BudgetRecord>& stored = this->budgets.at(write.record.service);
  if (stored.version != write.expected_version) {
    return;
  }
  this->checker.OnBudget(stored.value, write.record, this->records, truth,
                         this->now);
  stored = {write.record, ++this->revision};
}

}  // namespace daisyroad
