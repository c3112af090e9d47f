#include "UnitTests/Fleet/fake_fleet.h"

#include <algorithm>
#include <variant>

namespace daisyroad {
namespace {

constexpr int kEntryCount = 3;
constexpr int kListLagTicks = 5;

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
    this->workers[record.worker].task_ticks_left =
        static_cast<int>(this->random.Below(12));
  }
  for (const ServiceTopology::PoolTable::value_type& service :
       this->services.services()) {
    BudgetRecord budget;
    budget.service = service.first;
    budget.allowed = 1 + static_cast<std::int64_t>(this->random.Below(3));
    this->budgets[service.first] = {budget, ++this->revision};
  }
  this->entries.resize(kEntryCount);
  for (int i = 0; i < kEntryCount; ++i) {
    this->entries[i].view.name = EntryName("e" + std::to_string(i) + "-0");
    this->Refresh(this->entries[i]);
  }
}

void FakeFleet::Run(int ticks, bool faults) {
  if (!faults) {
    this->zones_out.clear();
    this->outage_ticks_left = 0;
  }
  for (int tick = 0; tick < ticks && this->checker.failures.empty(); ++tick) {
    this->now += std::chrono::seconds(1);
    if (faults) {
      this->InjectFaults();
    }
    for (std::map<WorkerName, FakeWorker>::value_type& worker : this->workers) {
      worker.second.Tick(kListLagTicks);
    }
    for (Entry& entry : this->entries) {
      this->RunEntry(entry, faults);
    }
  }
}

bool FakeFleet::HasDraining() const {
  return std::any_of(this->workers.begin(), this->workers.end(),
                     [](const std::pair<const WorkerName, FakeWorker>& worker) {
                       return worker.second.up && worker.second.draining;
                     });
}

void FakeFleet::InjectFaults() {
  this->outage_ticks_left -= this->outage_ticks_left > 0 ? 1 : 0;
  if (this->random.Chance(0.01)) {
    this->outage_ticks_left = 1 + static_cast<int>(this->random.Below(15));
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
  const InstanceRecord failed = MakeInstance(index);
  const std::uint64_t scope = this->random.Below(8);
  for (std::map<WorkerName, FakeWorker>::value_type& entry : this->workers) {
    const InstanceRecord& record = this->records.at(entry.first).value;
    if (record.worker == failed.worker ||
        (scope == 1 && record.rack == failed.rack) ||
        (scope == 0 && record.zone == failed.zone)) {
      entry.second.Fail(1 + static_cast<int>(this->random.Below(20)));
    }
  }
}

GroundTruth FakeFleet::TakeGroundTruth() const {
  GroundTruth truth;
  truth.time = this->now;
  for (const InstanceTable::value_type& entry : this->records) {
    const InstanceRecord& record = entry.second.value;
    const FakeWorker& worker = this->workers.at(entry.first);
    if (worker.up && worker.listed && !this->zones_out.contains(record.zone)) {
      continue;
    }
    for (const ServiceName& service : this->services.ServicesOf(record.pool)) {
      truth.unplanned[service].insert(entry.first);
    }
  }
  for (const BudgetTable::value_type& entry : this->budgets) {
    for (const ChargeTable::value_type& charge : entry.second.value.charges) {
      truth.charged[entry.first].insert(charge.second.worker);
    }
  }
  return truth;
}

void FakeFleet::Refresh(Entry& entry) {
  for (const InstanceTable::value_type& record : this->records) {
    entry.view.ledger.Apply(record.second);
  }
  entry.view.budgets = this->budgets;
  entry.view.observation.observed_at = this->now;
  for (const std::map<WorkerName, FakeWorker>::value_type& worker :
       this->workers) {
    entry.view.observation.workers[worker.first] = worker.second.Observe();
  }
  entry.view.observation.zones_out = this->zones_out;
  entry.truth = this->TakeGroundTruth();
}

// The watches of different keys are not synchronized, so the budgets of a view
// may be newer than its instance records.
void FakeFleet::RefreshBudgets(Entry& entry) {
  entry.view.budgets = this->budgets;
  entry.truth.charged = this->TakeGroundTruth().charged;
}

void FakeFleet::RestartEntry(Entry& entry) {
  entry.queue.clear();
  entry.view.ledger = PoolLedger();
  entry.view.name = EntryName(entry.view.name.str().substr(0, 3) +
                              std::to_string(++entry.restarts));
  this->Refresh(entry);
}

void FakeFleet::RunEntry(Entry& entry, bool faults) {
  if (!faults) {
    entry.pause_ticks_left = 0;
  }
  if (entry.pause_ticks_left > 0) {
    --entry.pause_ticks_left;
    return;
  }
  if (this->outage_ticks_left == 0 && (!faults || this->random.Chance(0.7))) {
    this->Refresh(entry);
  } else if (this->outage_ticks_left == 0 && this->random.Chance(0.5)) {
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
      entry.pause_ticks_left = 1 + static_cast<int>(this->random.Below(25));
      return;
    }
    if (faults && this->random.Chance(0.01)) {
      this->RestartEntry(entry);
      return;
    }
    const std::pair<FleetAction, GroundTruth> next = entry.queue.front();
    entry.queue.pop_front();
    std::visit([this, &next](
                   const auto& action) { this->Execute(action, next.second); },
               next.first);
  }
}

void FakeFleet::Execute(const WriteInstance& write, const GroundTruth& truth) {
  if (this->now > write.not_after || this->outage_ticks_left > 0) {
    return;
  }
  const Versioned<InstanceRecord>& stored =
      this->records.at(write.record.worker);
  const bool expected = stored.version == write.expected_version;
  // The entry instance may have sent the same change before.
  const bool repeated = stored.value.HasChange(write.change);
  // Either the request or the response may be lost.
  const bool request_lost = this->random.Chance(0.03);
  if (!request_lost) {
    this->Write(write, truth);
  }
  if (request_lost || this->random.Chance(0.05)) {
    ++this->lost_responses;
    const bool applied = repeated || (expected && !request_lost);
    if ((PoolLedger::DetermineOutcome(write, stored) ==
         RecordWriteOutcome::kApplied) != applied) {
      this->checker.Fail(
          "wrong outcome determined for a write whose response was lost");
    }
  }
}

void FakeFleet::Execute(const WriteBudget& write, const GroundTruth& truth) {
  Versioned<BudgetRecord>& stored = this->budgets.at(write.record.service);
  if (this->now > write.not_after || this->outage_ticks_left > 0 ||
      stored.version != write.expected_version) {
    return;
  }
  this->checker.OnBudgetWrite(stored.value, write.record, this->records, truth,
                              this->now);
  stored = {write.record, ++this->revision};
}

void FakeFleet::Execute(const DrainWorker& drain, const GroundTruth&) {
  this->workers.at(drain.worker).Drain(drain.incarnation);
}

void FakeFleet::Execute(const CheckpointWorker& checkpoint,
                        const GroundTruth&) {
  this->workers.at(checkpoint.worker).Checkpoint(checkpoint.incarnation);
}

void FakeFleet::Execute(const RebootWorker& reboot, const GroundTruth&) {
  const int down_ticks = this->random.Chance(0.1) ? 40 : 6;
  if (this->workers.at(reboot.worker).Reboot(reboot.incarnation, down_ticks)) {
    this->checker.OnReboot(this->records.at(reboot.worker).value.operation);
  }
}

void FakeFleet::Write(const WriteInstance& write, const GroundTruth& truth) {
  Versioned<InstanceRecord>& stored = this->records.at(write.record.worker);
  if (stored.version != write.expected_version) {
    return;
  }
  this->checker.OnInstanceWrite(
      stored.value, write.record, this->budgets, truth,
      this->workers.at(write.record.worker).incarnation, this->now);
  stored = {write.record, ++this->revision};
}

}  // namespace daisyroad
