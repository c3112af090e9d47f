#include <catch2/catch.hpp>

#include <rapidcheck.h>

#include "Core/Common/json.h"
#include "Core/Fleet/disruption_budget.h"
#include "Core/Fleet/instance_lifecycle.h"

namespace daisyroad {
namespace {

Versioned<InstanceRecord> Instance(const std::string& name,
                                   std::int64_t version) {
  InstanceRecord record;
  record.worker = WorkerName(name);
  record.pool = PoolName("web");
  record.zone = ZoneName("a");
  record.rack = RackName("a1");
  return {record, version};
}

// Guards against a record that changes when it is encoded and parsed again.
TEST_CASE("Records survive JSON encoding and parsing") {
  CHECK(rc::check([] {
    InstanceRecord record;
    record.worker = WorkerName(*rc::gen::arbitrary<std::string>());
    record.pool = PoolName(*rc::gen::arbitrary<std::string>());
    record.operation_base = *rc::gen::arbitrary<std::int64_t>();
    record.incarnation = *rc::gen::arbitrary<std::int64_t>();
    record.step = static_cast<InstanceStep>(*rc::gen::inRange(0, 7));
    record.operation = record.Busy() ? "op" : "";
    record.AddChange(*rc::gen::arbitrary<std::string>());
    const Result<InstanceRecord> parsed = ParseInstanceRecord(ToJson(record));
    RC_ASSERT(parsed.ok());
    RC_ASSERT(parsed.value() == record);
    BudgetRecord budget;
    budget.service = ServiceName(*rc::gen::arbitrary<std::string>());
    budget.allowed = *rc::gen::positive<std::int64_t>();
    budget.charges["op"] = {record.worker, record.operation_base};
    const Result<BudgetRecord> back = ParseBudgetRecord(ToJson(budget));
    RC_ASSERT(back.ok());
    RC_ASSERT(back.value() == budget);
  }));
}

// Guards against a damaged record that is parsed as an idle instance.
TEST_CASE("Damaged records are refused") {
  const Json::Value good = ToJson(Instance("w", 1).value);
  for (const std::string& name : good.getMemberNames()) {
    Json::Value bad = good;
    bad[name] = Json::Value(Json::objectValue);
    CHECK_FALSE(ParseInstanceRecord(bad).ok());
    bad.removeMember(name);
    CHECK_FALSE(ParseInstanceRecord(bad).ok());
  }
  Json::Value contradiction = good;
  contradiction["step"] = "draining";
  CHECK_FALSE(ParseInstanceRecord(contradiction).ok());
  CHECK_FALSE(ParseBudgetRecord(Json::Value("text")).ok());
}

// Guards against two concurrent moves of one instance that are both reported as
// accepted.
TEST_CASE("Of two concurrent moves one is applied and the other superseded") {
  PoolLedger ledger;
  ledger.Apply(Instance("w", 5));
  const WorkerName w("w");
  const Result<WriteInstance> first =
      ledger.RequestMove(w, PoolName("web"), PoolName("batch"), "op-1");
  const Result<WriteInstance> second =
      ledger.RequestMove(w, PoolName("web"), PoolName("spare"), "op-2");
  REQUIRE(first.ok());
  REQUIRE(second.ok());
  const Versioned<InstanceRecord> stored{first.value().record, 6};
  CHECK(PoolLedger::DetermineOutcome(first.value(), stored) ==
        RecordWriteOutcome::kApplied);
  CHECK(PoolLedger::DetermineOutcome(second.value(), stored) ==
        RecordWriteOutcome::kSuperseded);
  CHECK(PoolLedger::DetermineOutcome(second.value(), Instance("w", 5)) ==
        RecordWriteOutcome::kNotApplied);
  ledger.Apply(stored);
  ledger.Apply(Instance("w", 5));
  CHECK_FALSE(
      ledger.RequestMove(w, PoolName("web"), PoolName("spare"), "op-3").ok());
  CHECK(ledger.RequestMove(w, PoolName("web"), PoolName("x"), "op-4")
            .error()
            .code == Errc::kConflict);
  CHECK(ledger.RequestMove(w, PoolName("spare"), PoolName("x"), "op-5")
            .error()
            .detail == "is in pool web");
}

// Guards against an instance that is down but not counted, or counted twice:
// unhealthy, not in the instance list, not observed, in a zone that is out, or
// charged.
TEST_CASE("A budget counts every instance that is down once") {
  PoolLedger ledger;
  ServiceTopology topology;
  topology.Add(ServiceName("site"), PoolName("web"));
  FleetObservation observation;
  for (const char* name : {"broken", "unlisted", "absent", "out", "fine"}) {
    Versioned<InstanceRecord> instance = Instance(name, 1);
    instance.value.zone = ZoneName(name == std::string("out") ? "b" : "a");
    ledger.Apply(instance);
    observation.workers[instance.value.worker] = {true, true, false, 1, {}};
  }
  observation.workers[WorkerName("broken")].healthy = false;
  observation.workers[WorkerName("unlisted")].listed = false;
  observation.workers.erase(WorkerName("absent"));
  observation.zones_out.insert(ZoneName("b"));
  const DownTable down =
      DisruptionBudget::UnplannedDown(ledger, topology, observation);
  const std::set<WorkerName>& site = down.at(ServiceName("site"));
  CHECK(site.size() == 4);
  BudgetRecord budget{ServiceName("site"), 5, {}};
  budget.charges["x"] = {WorkerName("broken"), 0};
  CHECK(DisruptionBudget::DownWith(budget, site, WorkerName("fine")) == 5);
  CHECK(DisruptionBudget::HasRoom(budget, site, WorkerName("fine")));
  budget.allowed = 4;
  CHECK_FALSE(DisruptionBudget::HasRoom(budget, site, WorkerName("fine")));
}

// Guards against a closed maintenance window that ends moves requested by
// operators, and against maintenance that begins after the window has closed.
TEST_CASE("A closed window refuses maintenance but not moves") {
  PoolLedger ledger;
  ledger.Apply(Instance("w", 5));
  const WorkerName w("w");
  FleetObservation observation;
  observation.workers[w] = {true, true, false, 7, {}};
  const BudgetTable budgets;
  const DownTable unplanned;
  const ServiceTopology topology;
  const LifecycleInput closed{budgets, unplanned, observation, topology, false};
  const InstanceLifecycle lifecycle(EntryName("e"), std::chrono::seconds(60));
  const auto next_step = [&](const WriteInstance& request) {
    const std::vector<FleetAction> actions =
        lifecycle.Next({request.record, 6}, closed, observation.observed_at);
    REQUIRE(actions.size() == 1);
    return std::get<WriteInstance>(actions.front()).record.step;
  };
  CHECK(next_step(ledger.RequestMaintenance(w, 1, "m").value()) ==
        InstanceStep::kInService);
  CHECK(next_step(ledger.RequestMove(w, PoolName("web"), PoolName("batch"), "o")
                      .value()) == InstanceStep::kDraining);
}

// Guards against a long task that delays a drain, and against a checkpoint of a
// task that is about to end.
TEST_CASE("Only a task longer than the patience is checkpointed") {
  Versioned<InstanceRecord> draining = Instance("w", 5);
  draining.value.step = InstanceStep::kDraining;
  draining.value.operation = "w@4";
  draining.value.incarnation = 7;
  const InstanceLifecycle lifecycle(EntryName("e"), std::chrono::seconds(60));
  for (const int seconds : {60, 61}) {
    FleetObservation observation;
    observation.workers[WorkerName("w")] = {true, true, false, 7,
                                            std::chrono::seconds(seconds)};
    const std::vector<FleetAction> actions = lifecycle.Next(
        draining, {BudgetTable(), DownTable(), observation, ServiceTopology()},
        observation.observed_at);
    REQUIRE(actions.size() == (seconds > 60 ? 2 : 1));
    CHECK(std::get<DrainWorker>(actions.front()).incarnation == 7);
  }
}

}  // namespace
}  // namespace daisyroad
