#include <catch2/catch.hpp>

#include "Core/Common/json.h"
#include "UnitTests/Entry/fleet_world.h"

namespace daisyroad {
namespace {

const WorkerName kWeb1("web-1");
const PoolName kSpare("spare");

// Asks for a move through the instance that does not lead; what it answers.
Result<InstanceStep> Move(FleetWorld& world) {
  Result<InstanceStep> answer = Error{Errc::kInternal, "test", "", "none"};
  world.Other().fleet->requests().Move(
      kWeb1, kSpare,
      [&answer](const Result<InstanceStep>& step) { answer = step; });
  return answer;
}

bool SetPaused(FleetWorld& world, bool paused) {
  bool ok = false;
  world.Other().fleet->requests().SetPaused(
      paused, "ana", [&ok](const Result<bool>& result) { ok = result.ok(); });
  return ok;
}

bool HasMoved(const FleetWorld& world) {
  const InstanceRecord record = world.Record("web-1");
  return record.pool == kSpare && !record.Busy() && world.Charges() == 0;
}

// Guards against a worker that never gets a record, and against pools that only
// the leading instance knows.
TEST_CASE("New workers get records with their initial pool, known everywhere") {
  FleetWorld world;
  world.Run(std::chrono::seconds(5));
  CHECK(world.Record("web-1").pool == PoolName("web"));
  CHECK(world.Record("spare-1").pool == kSpare);
  CHECK(world.Other().fleet->records().ledger().instances().size() == 4);
  CHECK(world.Drains() == 0);
  REQUIRE(Move(world).ok());
  REQUIRE(world.RunUntil([&]() { return HasMoved(world); }));
  world.Run(std::chrono::seconds(3));
  for (const std::unique_ptr<FleetWorld::Entry>& entry : world.entries) {
    CHECK(entry->directory->Find(kWeb1)->pool == kSpare);
  }
}

// Guards against a move that stays unfinished when the instance that began it
// dies, and against a second reboot by its successor.
TEST_CASE("Another instance carries on a move at every step") {
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
      world.workers.workers["web-1"].broken = true;
      InstanceRecord record = world.Record("web-1");
      record.step = InstanceStep::kRebooting;
      world.store.Put(InstanceKey(kWeb1), WriteJson(ToJson(record)));
    }
    world.Stop(world.Chosen());
    world.workers.workers["web-1"].broken = false;
    world.workers.workers["web-1"].status.running.clear();
    CHECK(world.RunUntil([&]() { return HasMoved(world); }));
    CHECK(world.workers.workers["web-1"].reboots == 1);
  }
}

// Guards against an operation that is requested or charged twice, or reported
// as failed, because the answer of a write was lost.
TEST_CASE("A lost answer of a write is read back") {
  FleetWorld world;
  world.Run(std::chrono::seconds(5));
  world.store.lose_answers = true;
  const Result<InstanceStep> step = Move(world);
  REQUIRE(step.ok());
  CHECK(step.value() == InstanceStep::kRequested);
  CHECK(world.RunUntil([&]() { return HasMoved(world); }));
  CHECK(world.workers.workers["web-1"].reboots == 1);
  CHECK(world.Lines("drain_begun").size() == 1);
}

// Guards against a disruption beyond the budget, and a refusal that does not
// say why.
TEST_CASE("A budget without room starts nothing and says its numbers") {
  FleetWorld world;
  world.Run(std::chrono::seconds(5));
  world.workers.workers["web-2"].broken = true;
  REQUIRE(Move(world).ok());
  REQUIRE(world.RunUntil([&]() { return !world.Record("web-1").Busy(); }));
  CHECK(world.Record("web-1").pool == PoolName("web"));
  CHECK(world.Drains() == 0);
  CHECK(world.Charges() == 0);
  REQUIRE(world.Lines("refused").size() == 1);
  CHECK(world.Lines("refused").front().find(
            "service=site down=2 allowed=1 charges=0 unplanned=1") !=
        std::string::npos);
}

// Guards against maintenance that goes on elsewhere after an operator paused
// it, and against a resume that does not reach the leading instance.
TEST_CASE("A pause holds in every instance until it is taken back") {
  FleetWorld world;
  world.Run(std::chrono::seconds(5));
  REQUIRE(SetPaused(world, true));
  world.MakeMaintenanceDue();
  world.Run(std::chrono::seconds(20));
  world.Stop(world.Chosen());
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

// Guards against a late drain or reboot that hits the incarnation after the one
// that it was meant for, and so disrupts without a charge.
TEST_CASE("A command for an earlier incarnation is refused") {
  for (const InstanceStep step :
       {InstanceStep::kDraining, InstanceStep::kRebooting}) {
    FleetWorld world;
    FleetFakeWorkers::Worker& worker = world.workers.workers["web-1"];
    world.Run(std::chrono::seconds(5));
    world.reboots_end = false;
    if (step == InstanceStep::kDraining) {
      worker.status.running = {TaskId("t")};
    }
    REQUIRE(Move(world).ok());
    REQUIRE(
        world.RunUntil([&]() { return world.Record("web-1").step == step; }));
    world.Run(std::chrono::seconds(1));
    const int sent = worker.drains + worker.reboots;
    CHECK(sent > 0);
    // The worker reboots by itself between a probe and the next command.
    worker.boots_after_status = true;
    world.Run(std::chrono::seconds(1));
    worker.boots_after_status = false;
    CHECK(worker.refused > 0);
    CHECK(worker.drains + worker.reboots == sent);
    worker.status.running.clear();
    CHECK(world.RunUntil([&]() { return HasMoved(world); }));
    CHECK(worker.drains + worker.reboots == sent);
  }
}

// Guards against disruptions begun by an instance that is cut off.
TEST_CASE("Without confirmed authority nothing begins") {
  FleetWorld world;
  world.Run(std::chrono::seconds(5));
  world.confirmed = false;
  CHECK(Move(world).error().code == Errc::kUnavailable);
  world.MakeMaintenanceDue();
  world.Run(std::chrono::seconds(20));
  CHECK(world.Drains() == 0);
}

// Guards against an operation that stops half way when authority is lost.
TEST_CASE("What has begun is carried on without confirmed authority") {
  FleetWorld world;
  world.Run(std::chrono::seconds(5));
  world.workers.workers["web-1"].status.running = {TaskId("t")};
  REQUIRE(Move(world).ok());
  REQUIRE(world.RunUntil(
      [&]() { return world.Record("web-1").step == InstanceStep::kDraining; }));
  world.confirmed = false;
  world.workers.workers["web-1"].status.running.clear();
  CHECK(world.RunUntil([&]() { return HasMoved(world); }));
}

// Guards against a reboot that loses answers which no dispatcher has collected.
TEST_CASE("A worker is rebooted only after its answers were collected") {
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

// Guards against a paused process that begins a disruption on an observation
// that has become too old.
TEST_CASE("A write past its time is dropped") {
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

// Guards against callers who are told that no worker is in service because an
// instance of another zone never learns that a maintained worker is back.
TEST_CASE("A worker that the list shows as live again is no longer leaving") {
  FleetWorld world;
  const WorkerInfo* const seen = world.Other().directory->Find(kWeb1);
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

// Guards against a load on the store that grows with the instances.
TEST_CASE("Only the leading instance lists the records") {
  FleetWorld world;
  world.Run(std::chrono::seconds(5));
  world.store.lists = 0;
  world.Run(std::chrono::seconds(60));
  CHECK(world.store.lists <= 60);  // two prefixes every 2 s
}

}  // namespace
}  // namespace daisyroad
