// Property tests of configuration changes and authority under random fault
// schedules.
//
// DAISYROAD_SCHEDULES sets the number of seeds (default 300) and
// DAISYROAD_FIRST_SEED the first one (default 1), so that a long run can be
// split over several processes.

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <string>

#include "UnitTests/Control/control_simulation.h"

namespace daisyroad {
namespace {

using std::chrono::seconds;

std::uint64_t ReadEnvironment(const char* name, std::uint64_t default_value) {
  const char* text = std::getenv(name);
  return text == nullptr ? default_value : std::strtoull(text, nullptr, 10);
}

// Generates random faults and changes for one simulation and runs it.
class Schedule {
 public:
  explicit Schedule(std::uint64_t seed)
      : random(seed),
        zones(2 + this->random.Below(3)),
        simulation(seed, this->zones, 1 + this->random.Below(3)) {
    this->simulation.links.loss = this->random.Chance(0.5) ? 0.05 : 0.0;
    this->simulation.links.slow = this->random.Chance(0.5) ? 0.1 : 0.0;
    this->simulation.lost_answers = this->random.Chance(0.5) ? 0.2 : 0.0;
    this->simulation.stale_watches = this->random.Chance(0.5) ? 0.5 : 0.0;
  }

  std::vector<std::string> Run() {
    const std::uint64_t faults = this->random.Below(7);
    for (std::uint64_t i = 0; i < faults; ++i) {
      this->AddFault();
    }
    if (this->random.Chance(0.5)) {
      this->AddIsolatedWriter();
    }
    if (this->random.Chance(0.3)) {
      this->AddShrinkingRoster();
    }
    const std::uint64_t changes = 1 + this->random.Below(6);
    for (std::uint64_t i = 0; i < changes; ++i) {
      this->AddChange(this->RandomTime(), this->RandomNode());
    }
    this->simulation.RunUntil(kLength);
    this->simulation.Finish();
    return this->simulation.violations;
  }

 private:
  static constexpr seconds kLength{20};

  Duration RandomTime() {
    return seconds(1) + this->random.DurationBelow(kLength - seconds(4));
  }
  std::size_t RandomNode() {
    return this->random.Below(this->simulation.size());
  }

  std::set<std::size_t> RandomSubset(double share) {
    std::set<std::size_t> nodes;
    for (std::size_t i = 0; i < this->simulation.size(); ++i) {
      if (this->random.Chance(share)) {
        nodes.insert(i);
      }
    }
    return nodes;
  }

  std::set<std::size_t> NodesOfZone(std::size_t zone) {
    std::set<std::size_t> nodes;
    for (std::size_t i = 0; i < this->simulation.size(); ++i) {
      if (this->simulation.ZoneOf(i) == zone) {
        nodes.insert(i);
      }
    }
    return nodes;
  }

  std::set<std::size_t> AllExcept(const std::set<std::size_t>& nodes) {
    std::set<std::size_t> others;
    for (std::size_t i = 0; i < this->simulation.size(); ++i) {
      if (nodes.count(i) == 0) {
        others.insert(i);
      }
    }
    return others;
  }

  void ApplyBetween(Duration from,
                    Duration to,
                    std::function<void(int)> apply) {
    this->simulation.At(from, [apply] { apply(1); });
    this->simulation.At(to, [apply] { apply(-1); });
  }

  void CutLinks(Duration from,
                Duration to,
                const std::set<std::size_t>& side,
                bool both_ways) {
    const std::set<std::size_t> rest = this->AllExcept(side);
    this->ApplyBetween(from, to, [this, side, rest, both_ways](int change) {
      this->simulation.links.Cut(side, rest, change);
      if (both_ways) {
        this->simulation.links.Cut(rest, side, change);
      }
    });
  }

  void CutStore(Duration from,
                Duration to,
                const std::set<std::size_t>& from_nodes) {
    this->ApplyBetween(from, to, [this, from_nodes](int change) {
      for (const std::size_t node : from_nodes) {
        this->simulation.store_cuts[node] += change;
      }
    });
  }

  void AddFault() {
    const Duration from = this->RandomTime();
    const Duration to = from + this->random.DurationBelow(seconds(12));
    const std::size_t node = this->RandomNode();
    switch (this->random.Below(8)) {
      case 0:
        return this->CutLinks(
            from, to, this->NodesOfZone(this->random.Below(zones)), true);
      case 1:
        return this->CutLinks(
            from, to, this->NodesOfZone(this->random.Below(zones)), false);
      case 2:
        return this->CutLinks(from, to, {node}, this->random.Chance(0.5));
      case 3:
        return this->CutLinks(from, to, this->RandomSubset(0.5), true);
      case 4:
        return this->CutStore(from, to, this->RandomSubset(1.0));
      case 5:
        return this->CutStore(from, to, this->RandomSubset(0.7));
      case 6:
        return this->simulation.At(from, [this, node, to, from] {
          simulation.Pause(node, to - from);
        });
      default:
        return this->simulation.At(
            from, [this, node] { simulation.Kill(node, seconds(2)); });
    }
  }

  // The store becomes unreachable for every instance and then reachable again
  // for one only. That instance writes a change and is then partitioned from
  // the others, alone or with some that may already know the change.
  void AddIsolatedWriter() {
    const std::size_t writer = this->RandomNode();
    const Duration down = seconds(1) + this->random.DurationBelow(seconds(4));
    const Duration back = down + this->random.DurationBelow(seconds(6));
    this->CutStore(down, kLength, this->AllExcept({writer}));
    this->CutStore(down, back, {writer});
    this->AddChange(back + this->random.DurationBelow(seconds(1)), writer);
    if (this->random.Chance(0.5)) {
      this->AddChange(back + this->random.DurationBelow(seconds(3)), writer);
    }
    std::set<std::size_t> side;
    if (this->random.Chance(0.5)) {
      side = this->RandomSubset(0.5);
    }
    side.insert(writer);
    this->CutLinks(back + this->random.DurationBelow(seconds(3)), kLength, side,
                   this->random.Chance(0.8));
  }

  // The only instance that can reach the store is partitioned from the others
  // and removes them from the roster one by one.
  void AddShrinkingRoster() {
    const std::size_t writer = this->RandomNode();
    const Duration from = seconds(1) + this->random.DurationBelow(seconds(3));
    this->CutStore(from, kLength, this->AllExcept({writer}));
    this->CutLinks(from, kLength, {writer}, true);
    for (const std::size_t other : this->AllExcept({writer})) {
      const ChangeId id("c" + std::to_string(this->next_change++));
      const EntryName name = this->simulation.NameOf(other);
      this->simulation.At(from + this->random.DurationBelow(seconds(8)),
                          [this, writer, id, name] {
                            this->simulation.Propose(writer, id,
                                                     RosterLeave{name});
                          });
    }
  }

  void AddChange(Duration time, std::size_t node) {
    const ChangeId id("c" + std::to_string(this->next_change++));
    const std::size_t other = this->RandomNode();
    const EntryName name = this->simulation.NameOf(other);
    const ZoneName zone =
        this->simulation.NameOfZone(this->simulation.ZoneOf(other));
    ControlChange change;
    switch (this->random.Below(6)) {
      case 0:
        change = TakeZoneOut{zone};
        break;
      case 1:
        change = TakeZoneIn{zone};
        break;
      case 2:
        change = GiveKey{{KeyId(id.str()), OperatorKey{"eva"}, {}, false}};
        break;
      case 3:
        change = RosterLeave{name};
        break;
      case 4:
        change = RosterJoin{{name, zone, ""}};
        break;
      default:
        change = ApplyDeclaration{id.str()};
        break;
    }
    this->simulation.At(time, [this, node, id, change] {
      simulation.Propose(node, id, change);
    });
  }

  Random random;
  std::size_t zones;
  ControlSimulation simulation;
  int next_change = 0;
};

// Guards against a version that decreases, work under an old version after the
// freshness bound, a change that is written twice, and a wrong outcome reported
// to the operator.
TEST_CASE("No schedule violates the configuration invariants") {
  const std::uint64_t first = ReadEnvironment("DAISYROAD_FIRST_SEED", 1);
  const std::uint64_t count = ReadEnvironment("DAISYROAD_SCHEDULES", 300);
  std::uint64_t failed = 0;
  constexpr std::uint64_t kMaxFailures = 20;
  for (std::uint64_t seed = first;
       seed < first + count && failed < kMaxFailures; ++seed) {
    const std::vector<std::string> violations = Schedule(seed).Run();
    if (!violations.empty()) {
      ++failed;
      if (failed <= 5) {
        UNSCOPED_INFO("seed " << seed << ": " << violations.front());
      }
    }
  }
  UNSCOPED_INFO(failed << " seeds failed");
  CHECK(failed == 0);
}

// Guards against work that stops, other than in the first seconds, because no
// instance can reach the store, also if an instance ends during the outage.
TEST_CASE("Work continues during a store outage that affects every instance") {
  const std::uint64_t seed = GENERATE(range(1, 21));
  ControlSimulation simulation(seed, 3, 3);
  simulation.RunUntil(seconds(5));
  simulation.store_up = false;
  simulation.At(seconds(15), [&] { simulation.Kill(0, seconds(100)); });
  for (int tenth = 100; tenth < 600; ++tenth) {
    simulation.RunUntil(Milliseconds(100 * tenth));
    for (std::size_t node = 1; node < simulation.size(); ++node) {
      const Authority authority = simulation.AuthorityOf(node);
      INFO("seed " << seed << " at " << tenth << ": " << authority.reason);
      REQUIRE(authority.state == AuthorityState::kStoreOutage);
    }
  }
}

// Guards against a change that takes effect too late, or never, while all links
// are healthy.
TEST_CASE("A change is in force everywhere within 5 s") {
  const std::uint64_t seed = GENERATE(range(1, 21));
  ControlSimulation simulation(seed, 4, 1 + seed % 3);
  simulation.RunUntil(seconds(3));
  simulation.Propose(seed % simulation.size(), ChangeId("a"),
                     TakeZoneOut{ZoneName("z1")});
  simulation.Propose((seed + 1) % simulation.size(), ChangeId("b"),
                     RosterLeave{EntryName("i0")});
  simulation.RunUntil(seconds(8));
  for (std::size_t node = 0; node < simulation.size(); ++node) {
    CHECK(simulation.DocumentOf(node).version() == 3);
  }
  for (const auto& [id, outcome] : simulation.outcomes) {
    INFO("seed " << seed << " change " << id);
    CHECK(outcome.in_force >= outcome.proposed);
  }
}

// Guards against a partitioned zone that goes on working under an old version,
// and against a zone partition that blocks changes in the other zones.
TEST_CASE("A partitioned zone becomes isolated and the others accept changes") {
  ControlSimulation simulation(1, 3, 2);
  simulation.RunUntil(seconds(3));
  simulation.links.Cut({0, 1}, {2, 3, 4, 5}, 1);
  simulation.links.Cut({2, 3, 4, 5}, {0, 1}, 1);
  simulation.store_cuts[0] = 1;
  simulation.store_cuts[1] = 1;
  simulation.Propose(2, ChangeId("a"), TakeZoneOut{ZoneName("z0")});
  simulation.RunUntil(seconds(9));
  CHECK(simulation.AuthorityOf(0).state == AuthorityState::kIsolated);
  CHECK(simulation.AuthorityOf(4).state == AuthorityState::kConfirmed);
  CHECK(simulation.outcomes[ChangeId("a")].accepted >= seconds(3));
}

}  // namespace
}  // namespace daisyroad
