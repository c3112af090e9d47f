#include "Core/Machines/machine_planner.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace daisyroad {
namespace {

const MonotonicTime kStart(std::chrono::hours(1));
const PoolName kPool("pool");
const PoolName kSpare("spare");

Machine MachineIn(const PoolName& pool, int index) {
  Machine machine;
  machine.name = MachineName(pool.str() + std::to_string(index));
  machine.pool = pool;
  machine.zone = ZoneName("north");
  machine.worker = WorkerName("w-" + machine.name.str());
  return machine;
}

// A planner with a pool of ten machines and a spare pool of two.
class Fixture {
 public:
  Fixture() {
    for (int i = 0; i < 10; ++i) {
      this->machines.push_back(MachineIn(kPool, i));
      this->Report().workers[this->machines.back().worker] = {};
    }
    this->machines.push_back(MachineIn(kSpare, 0));
    this->machines.push_back(MachineIn(kSpare, 1));
    this->pools[kPool].is_known = true;
    this->pools[kSpare].is_spare = true;
    this->Report().capacity = 10 * 4000;
    this->Report().usable_workers = 10;
    this->planner.SetHomeSizes({{kPool, 10}, {kSpare, 2}});
  }

  PoolLoad& Report() { return this->pools[kPool].load; }
  MachinePlan Plan() {
    return this->planner.Plan(this->machines, this->pools, this->waves,
                              this->zones_out, this->now);
  }
  // Reports the workers that the plan vacates as emptied.
  void ApplyVacate(const MachinePlan& plan) {
    for (std::pair<const WorkerName, PoolLoad::Worker>& worker :
         this->Report().workers) {
      const std::map<PoolName, std::set<WorkerName>>::const_iterator vacate =
          plan.vacate.find(kPool);
      worker.second.is_vacating =
          vacate != plan.vacate.end() && vacate->second.contains(worker.first);
    }
  }
  void AddWave(int machines_due, int most_at_once) {
    WaveProgress& progress = this->waves[1];
    progress.wave.number = 1;
    progress.wave.duration = std::chrono::seconds(25);
    progress.wave.most_at_once = most_at_once;
    progress.begun_at = this->now;
    for (int i = 0; i < machines_due; ++i) {
      progress.wave.machines.push_back(this->machines[i].name);
    }
  }

  std::vector<Machine> machines;
  std::map<PoolName, PoolReport> pools;
  std::map<std::int64_t, WaveProgress> waves;
  std::set<ZoneName> zones_out;
  MonotonicTime now = kStart;
  MachinePlanner planner;
};

// Guards against maintaining a machine whose worker still has runs.
TEST_CASE("A machine is emptied before it is maintained") {
  Fixture fixture;
  fixture.AddWave(2, 5);
  MachinePlan plan = fixture.Plan();
  CHECK(plan.orders.empty());
  REQUIRE_FALSE(plan.vacate[kPool].empty());
  fixture.ApplyVacate(plan);
  plan = fixture.Plan();
  CHECK_FALSE(plan.orders.empty());
  CHECK(std::holds_alternative<MaintainMachine>(plan.orders[0]));
}

// Guards against a wave that empties a whole pool and leaves no worker for its
// runs.
TEST_CASE("A wave takes only part of a pool at a time, even when it is late") {
  Fixture fixture;
  // The pool needs all its machines, so none is released to the spare pool.
  fixture.Report().needed = 9 * 4000;
  fixture.AddWave(10, 10);
  CHECK(fixture.Plan().vacate[kPool].size() <= 3);
  fixture.now += std::chrono::seconds(40);
  CHECK(fixture.Plan().vacate[kPool].size() <= 3);
}

// Guards against more machines in maintenance than operators allow for a wave.
TEST_CASE("A wave keeps its limit of machines in maintenance") {
  Fixture fixture;
  fixture.AddWave(4, 1);
  fixture.machines[0].state = MachineState::kUpkeep;
  MachinePlan plan = fixture.Plan();
  fixture.ApplyVacate(plan);
  CHECK(fixture.Plan().orders.empty());
}

// Guards against another machine in the place of one whose order may still be
// executed.
TEST_CASE("A reserved machine counts against the limit of its wave") {
  Fixture fixture;
  fixture.AddWave(4, 1);
  fixture.waves[1].AdoptOrder(fixture.machines[3].name, fixture.now);
  fixture.Report().workers.erase(fixture.machines[3].worker);
  MachinePlan plan = fixture.Plan();
  CHECK(plan.vacate[kPool].contains(fixture.machines[3].worker));
  fixture.ApplyVacate(plan);
  CHECK(fixture.Plan().orders.empty());
  fixture.Report().workers[fixture.machines[3].worker].is_vacating = true;
  plan = fixture.Plan();
  REQUIRE(plan.orders.size() == 1);
  CHECK(std::get<MaintainMachine>(plan.orders[0]).machine ==
        fixture.machines[3].name);
}

// Guards against orders for a pool whose scheduler does not report.
TEST_CASE("A pool without a recent load report gets no orders") {
  Fixture fixture;
  fixture.AddWave(4, 5);
  fixture.pools[kPool].is_known = false;
  const MachinePlan plan = fixture.Plan();
  CHECK(plan.orders.empty());
  CHECK(plan.vacate.empty());
}

// Guards against machines that stay idle in one pool during a burst in another.
TEST_CASE("A pool lends unneeded machines and keeps half of its home size") {
  Fixture fixture;
  const PoolName busy("busy");
  fixture.machines.push_back(MachineIn(busy, 0));
  PoolReport& report = fixture.pools[busy];
  report.is_known = true;
  report.load.capacity = 4000;
  report.load.usable_workers = 1;
  report.load.needed = 100 * 4000;
  MachinePlan plan = fixture.Plan();
  CHECK(plan.vacate[kPool].size() == 5);
  fixture.ApplyVacate(plan);
  plan = fixture.Plan();
  CHECK(plan.orders.size() == 7);  // two spare and five lent machines
}

// Guards against a burst that a pool must handle without the spare machines.
TEST_CASE("Spare machines move to a pool that needs them and return") {
  Fixture fixture;
  fixture.Report().needed = 11 * 4000;
  MachinePlan plan = fixture.Plan();
  REQUIRE(plan.orders.size() == 2);
  CHECK(std::get<MoveMachine>(plan.orders[0]).pool == kPool);
  SECTION("but not those in a zone that was taken out") {
    fixture.zones_out.insert(ZoneName("north"));
    CHECK(fixture.Plan().orders.empty());
  }
  SECTION("and return after a period of low demand") {
    fixture.machines[10].pool = kPool;
    fixture.Report().workers[fixture.machines[10].worker] = {};
    fixture.Report().needed = 0;
    CHECK(fixture.Plan().vacate.empty());
    fixture.now += Milliseconds(1500);
    plan = fixture.Plan();
    // The lent machine, and those beyond the minimum size of an idle pool.
    CHECK(plan.vacate[kPool].size() == 5);
    fixture.ApplyVacate(plan);
    plan = fixture.Plan();
    REQUIRE(plan.orders.size() == 5);
    CHECK(std::get<MoveMachine>(plan.orders[0]).pool == kSpare);
  }
}

// Guards against machines that are moved into a busy pool just before their
// maintenance, for which they must be emptied again.
TEST_CASE("Spare machines that are due for maintenance move last") {
  for (const bool moves_due_last : {true, false}) {
    Fixture fixture;
    MachinePlannerSettings settings;
    settings.moves_due_last = moves_due_last;
    fixture.planner = MachinePlanner(settings);
    fixture.planner.SetHomeSizes({{kPool, 10}, {kSpare, 3}});
    fixture.machines.push_back(MachineIn(kSpare, 2));
    fixture.AddWave(0, 1);
    fixture.waves[1].wave.machines = {fixture.machines[10].name,
                                      fixture.machines[11].name};
    fixture.machines.push_back(MachineIn(kSpare, 3));
    fixture.machines.back().state = MachineState::kUpkeep;
    fixture.waves[1].wave.machines.push_back(fixture.machines.back().name);
    fixture.Report().needed = 30000;  // one machine more than the pool has
    const MachinePlan plan = fixture.Plan();
    REQUIRE(plan.orders.size() == 1);
    CHECK(std::get<MoveMachine>(plan.orders[0]).machine ==
          fixture.machines[moves_due_last ? 12 : 11].name);
  }
}

// Guards against pools that keep machines for no demand, and against a setting
// that takes workers with service tasks away.
TEST_CASE("A resting pool keeps the set part of its home size") {
  Fixture fixture;
  fixture.planner = MachinePlanner(MachinePlannerSettings{0.4, 0.2, true});
  fixture.planner.SetHomeSizes({{kPool, 10}, {kSpare, 2}});
  const int service_hosts = GENERATE(0, 6);
  for (int i = 0; i < service_hosts; ++i) {
    fixture.Report().workers[fixture.machines[i].worker].service_runs = 1;
  }
  fixture.Plan();
  fixture.now += Milliseconds(1500);
  CHECK(fixture.Plan().vacate[kPool].size() ==
        static_cast<std::size_t>(service_hosts == 0 ? 6 : 4));
}

}  // namespace
}  // namespace daisyroad
