#include <catch2/catch.hpp>

#include "Core/Common/json.h"
#include "UnitTests/Entry/fleet_world.h"

namespace daisyroad {
namespace {

const WorkerName kWeb1("web-1");
const PoolName kSpare("spare");

// Requests a move through the follower and returns its answer.
Result<InstanceStep> Move(FleetWorld& world) {
  Result<InstanceStep> answer = Error{Errc::kInternal, "test", "", "none"};
  world.Follower().fleet->requests().Move(
      kWeb1, kSpare,
      [&answer](const Result<InstanceStep>& step) { answer = step; });
  return answer;
}

bool SetPaused(FleetWorld& world, bool paused) {
  bool ok = false;
  world.Follower().fleet->requests().SetPaused(
      paused, "ana", [&ok](const Result<bool>& result) { ok = result.ok(); });
  return ok;
}

bool HasMoved(const FleetWorld& world) {
  const InstanceRecord record = world.Record("web-1");
  return record.pool == kSpare && !record.Busy() && world.Charges() == 0;
}

// Guards against a worker that never gets a record, and against pool changes
// that only the leader learns.
TEST_CASE("New workers get records with their initial pool on every instance") {
  FleetWorld world;
  world.Run(std::chrono::seconds(5));
  CHECK(world.Record("web-1").pool == PoolName("web"));
  CHECK(world.Record("spare-1").pool == kSpare);
  CHECK(world.Follower().fleet->records().ledger().instances().size() == 4);
  CHECK(world.Drains() == 0);
  REQUIRE(Move(world).ok());
  REQUIRE(world.RunUntil([&]() { return HasMoved(world); }));
  world.Run(std::chrono::seconds(3));
  for (const std::unique_ptr<FleetWorld::Entry>& entry : world.entries) {
    CHECK(entry->directory->Find(kWeb1)->pool == kSpare);
  }
}

// Guards against a move that stays unfinished when the leader that started it
// stops, and against a second reboot by the next leader.
TEST_CASE("Another instance continues a move at every step") {
  for (const InstanceStep step :
       {InstanceStep::kRequested, InstanceStep::kDraining,
        InstanceStep::kRebooting}) {
    FleetWorld world;
    world.Run(std::chrono::seconds(5));
    world.workers.workers["web-1"].status.running = {TaskId("t")};
    REQUIRE(Move(world).ok());
    if (step != InstanceStep::kRequested) {
      REQUIRE(world.RunUntil([&]() {
        return world.Record("web-1").step == InstanceStep::kDraining;
      }));
    }
    if (step == InstanceStep::kRebooting) {
      world.workers.workers["web-1"].is_unreachable = true;
      InstanceRecord record = world.Record("web-1");
      record.step = InstanceStep::kRebooting;
      world.store.Put(InstanceKey(kWeb1), WriteJson(ToJson(record)));
    }
    world.Stop(world.Leader());
    world.workers.workers["web-1"].is_unreachable = false;
    world.workers.workers["web-1"].status.running.clear();
    CHECK(world.RunUntil([&]() { return HasMoved(world); }));
    CHECK(world.workers.workers["web-1"].reboots == 1);
  }
}

// Guards against an operation that is requested or charged twice, or reported
// as failed, because the answer to a write was lost.
TEST_CASE("A write whose answer was lost is read back") {
  FleetWorld world;
  world.Run(std::chrono::seconds(5));
  world.store.lose_answers = true;
  const Result<InstanceStep> step = Move(world);
  REQUIRE(step.ok());
  CHECK(step.value() == InstanceStep::kRequested);
  CHECK(world.RunUntil([&]() { return HasMoved(world); }));
  CHECK(world.workers.workers["web-1"].reboots == 1);
  CHECK(world.DecisionLines("drain_begun").size() == 1);
}

// Guards against exceeding the disruption budget, and against a refusal that
// does not log its reason.
TEST_CASE("An exhausted budget refuses a drain and logs its state") {
  FleetWorld world;
  world.Run(std::chrono::seconds(5));
  world.workers.workers["web-2"].is_unreachable = true;
  REQUIRE(Move(world).ok());
  REQUIRE(world.RunUntil([&]() { return !world.Record("web-1").Busy(); }));
  CHECK(world.Record("web-1").pool == PoolName("web"));
  CHECK(world.Drains() == 0);
  CHECK(world.Charges() == 0);
  REQUIRE(world.DecisionLines("refused").size() == 1);
  CHECK(world.DecisionLines("refused").front().find(
            "service=site down=2 allowed=1 charges=0 unplanned=1") !=
        std::string::npos);
}

// Guards against another leader continuing maintenance that an operator paused,
// and against a resume that does not reach the leader.
TEST_CASE("A pause applies to every instance until maintenance is resumed") {
  FleetWorld world;
  world.Run(std::chrono::seconds(5));
  REQUIRE(SetPaused(world, true));
  world.MakeMaintenanceDue();
  world.Run(std::chrono::seconds(20));
  world.Stop(world.Leader());
  world.Run(std::chrono::seconds(20));
  CHECK(world.Drains() == 0);
  world.stopped.clear();
  REQUIRE(SetPaused(world, false));
  const auto maintained = [&]() {
    return world.Record("web-1").maintained_cycle > 0 &&
           world.Record("web-2").maintained_cycle > 0 &&
           world.Record("web-3").maintained_cycle > 0 &&
           world.Record("spare-1").maintained_cycle > 0;
  };
  CHECK(world.RunUntil(maintained));
}

// Guards against a late drain or reboot command that reaches a later
// incarnation and so causes a disruption that is not charged to the budget.
TEST_CASE("A command for an earlier incarnation is refused") {
  for (const InstanceStep step :
       {InstanceStep::kDraining, InstanceStep::kRebooting}) {
    FleetWorld world;
    FleetFakeWorkers::Worker& worker = world.workers.workers["web-1"];
    world.Run(std::chrono::seconds(5));
    world.reboots_complete = false;
    if (step == InstanceStep::kDraining) {
      worker.status.running = {TaskId("t")};
    }
    REQUIRE(Move(world).ok());
    REQUIRE(
        world.RunUntil([&]() { return world.Record("web-1").step == step; }));
    world.Run(std::chrono::seconds(1));
    const int sent = worker.drains + worker.reboots;
    CHECK(sent > 0);
    // The worker reboots unprompted between a probe and the next command.
    worker.reboots_after_status = true;
    world.Run(std::chrono::seconds(1));
    worker.reboots_after_status = false;
    CHECK(worker.refused > 0);
    CHECK(worker.drains + worker.reboots == sent);
    worker.status.running.clear();
    CHECK(world.RunUntil([&]() { return HasMoved(world); }));
    CHECK(worker.drains + worker.reboots == sent);
  }
}

// Guards against disruptions started by a partitioned instance.
TEST_CASE("No operation starts without confirmed authority") {
  FleetWorld world;
  world.Run(std::chrono::seconds(5));
  world.is_authority_confirmed = false;
  CHECK(Move(world).error().code == Errc::kUnavailable);
  world.MakeMaintenanceDue();
  world.Run(std::chrono::seconds(20));
  CHECK(world.Drains() == 0);
}

// Guards against an operation that stalls when authority is lost.
TEST_CASE("A started operation continues without confirmed authority") {
  FleetWorld world;
  world.Run(std::chrono::seconds(5));
  world.workers.workers["web-1"].status.running = {TaskId("t")};
  REQUIRE(Move(world).ok());
  REQUIRE(world.RunUntil(
      [&]() { return world.Record("web-1").step == InstanceStep::kDraining; }));
  world.is_authority_confirmed = false;
  world.workers.workers["web-1"].status.running.clear();
  CHECK(world.RunUntil([&]() { return HasMoved(world); }));
}

// Guards against a reboot that loses results no dispatcher has collected yet.
TEST_CASE("A worker is rebooted only after its results were collected") {
  FleetWorld world;
  world.Run(std::chrono::seconds(5));
  world.workers.workers["web-1"].status.uncollected = 1;
  REQUIRE(Move(world).ok());
  world.Run(std::chrono::seconds(8));
  CHECK(world.workers.workers["web-1"].drains > 0);
  CHECK(world.workers.workers["web-1"].reboots == 0);
  world.workers.workers["web-1"].status.uncollected = 0;
  CHECK(world.RunUntil([&]() { return HasMoved(world); }));
}

// Guards against a process that was suspended and then starts a disruption
// based on an expired observation.
TEST_CASE("A write after its not_after time is dropped") {
  FleetWorld world;
  FleetRecords records([](const WorkerName&, const PoolName&) {});
  FleetStore store(&world.store, &records, [&]() { return world.now; });
  Result<bool> answer = true;
  store.Put({"instances/x", "{}", 0, world.now - Milliseconds(1),
             [](const StoreEntry&) { return false; }},
            [&answer](const Result<bool>& result) { answer = result; });
  REQUIRE_FALSE(answer.ok());
  CHECK(answer.error().code == Errc::kCancelled);
  CHECK(world.store.entries.empty());
}

// Guards against an instance in another zone that never learns that a
// maintained worker is back, and so tells callers that no worker is in service.
TEST_CASE("A worker listed as live again is no longer leaving") {
  FleetWorld world;
  const WorkerInfo* const seen = world.Follower().directory->Find(kWeb1);
  world.list.leaving.insert("web-1");
  bool left = false;
  // The directory reads the list every millisecond.
  world.loop.After(Milliseconds(50), [&]() {
    left = seen->leaving;
    world.list.leaving.clear();
  });
  world.loop.After(Milliseconds(100), [&]() { world.loop.Stop(); });
  world.loop.Run();
  CHECK(left);
  CHECK_FALSE(seen->leaving);
}

// Guards against store load that grows with the number of instances.
TEST_CASE("Only the leader lists the records") {
  FleetWorld world;
  world.Run(std::chrono::seconds(5));
  world.store.list_calls = 0;
  world.Run(std::chrono::seconds(60));
  CHECK(world.store.list_calls <= 60);  // two prefixes every 2 s
}

}  // namespace
}  // namespace daisyroad
