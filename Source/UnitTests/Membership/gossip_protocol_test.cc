#include "Core/Membership/gossip_protocol.h"

#include <catch2/catch.hpp>

#include "Core/Common/json.h"
#include "Core/Control/control_change.h"
#include "Core/Control/peer_report_codec.h"
#include "UnitTests/Membership/gossip_simulation.h"

namespace daisyroad {
namespace {

using std::chrono::seconds;

MemberInfo Info(std::uint64_t incarnation, MemberState state) {
  return {EntryName("b"), ZoneName("z"), "127.0.0.1:1", incarnation, state};
}

// Guards against a delayed update that adds a removed member again or overrides
// a refutation.
TEST_CASE("Updates are ordered by incarnation, then by state") {
  MemberTable table({EntryName("a"), ZoneName("z"), "", 0, {}});
  const MonotonicTime now;
  CHECK(table.Merge(Info(1, MemberState::kAlive), now));
  CHECK(table.Merge(Info(1, MemberState::kSuspect), now));
  CHECK_FALSE(table.Merge(Info(1, MemberState::kAlive), now));
  CHECK(table.Merge(Info(2, MemberState::kAlive), now));
  CHECK_FALSE(table.Merge(Info(1, MemberState::kRemoved), now));
  CHECK(table.Merge(Info(2, MemberState::kRemoved), now));
  CHECK_FALSE(table.Merge(Info(2, MemberState::kSuspect), now));
  CHECK(table.Live().size() == 1);
  CHECK(table.Expire(now + MemberTable::kRemovedRetention).empty());
  CHECK(table.Find(EntryName("b")) == nullptr);
}

// Guards against an instance that accepts its own removal.
TEST_CASE("An instance refutes updates that suspect or remove it") {
  MemberTable table({EntryName("a"), ZoneName("z"), "", 3, {}});
  CHECK(table.Merge(
      {EntryName("a"), ZoneName("z"), "", 3, MemberState::kRemoved}, {}));
  CHECK(table.self().incarnation == 4);
  CHECK(table.self().state == MemberState::kAlive);
}

// Guards against a joining instance that knows only the seed, and against a
// crash that is detected too early or too late.
TEST_CASE("Members discover each other and remove a crashed one") {
  const std::size_t nodes = GENERATE(9, 50);
  GossipSimulation simulation(1, nodes, 3);
  simulation.RunUntil(seconds(8));
  REQUIRE(simulation.HasConverged());
  simulation.Kill(4);
  simulation.RunUntil(seconds(12) + Milliseconds(900));
  CHECK_FALSE(simulation.HasConverged());
  simulation.RunUntil(seconds(18));
  CHECK(simulation.HasConverged());
}

// Guards against a one-way link failure being treated as a crash.
TEST_CASE("A one-way link failure between two instances removes no member") {
  GossipSimulation simulation(1, 9, 3);
  simulation.RunUntil(seconds(8));
  simulation.links.Cut({2}, {5}, 1);
  bool is_reached_indirectly = false;
  for (int second = 9; second < 40; ++second) {
    simulation.RunUntil(seconds(second));
    CHECK(simulation.HasConverged());
    is_reached_indirectly =
        is_reached_indirectly ||
        simulation.TableOf(2).Find(GossipSimulation::NameOf(5))->reachability ==
            Reachability::kIndirect;
  }
  CHECK(is_reached_indirectly);
}

// Guards against a pause after which the paused instance stays removed or
// suspects the others when it resumes.
TEST_CASE("A paused instance refutes the suspicion") {
  const int milliseconds = GENERATE(1000, 3000, 20000);
  GossipSimulation simulation(1, 9, 3);
  simulation.RunUntil(seconds(8));
  simulation.Pause(3, Milliseconds(milliseconds));
  simulation.RunUntil(seconds(8) + Milliseconds(milliseconds));
  for (std::size_t node = 0; node < 9; ++node) {
    CHECK(simulation.TableOf(node).self().state == MemberState::kAlive);
  }
  simulation.RunUntil(seconds(18) + Milliseconds(milliseconds));
  CHECK(simulation.HasConverged());
}

// Guards against partitions that never merge again after a random combination
// of link failures, message loss, delays, pauses and crashes.
TEST_CASE("Member lists converge after the faults have ended") {
  const int seed = GENERATE(range(1, 61));
  Random random(static_cast<std::uint64_t>(seed));
  GossipSimulation simulation(random.Below(1000), 4 + random.Below(12), 3);
  simulation.links.slow = 0.1;
  simulation.links.loss = 0.05;
  for (int fault = 0; fault < 4; ++fault) {
    std::set<std::size_t> sides[2];
    for (std::size_t i = 0; i < simulation.size(); ++i) {
      sides[random.Below(2)].insert(i);
    }
    const Duration from = seconds(5) + random.DurationBelow(seconds(20));
    const bool one_way = random.Chance(0.5);
    const std::size_t node = random.Below(simulation.size());
    for (const int change : {1, -1}) {
      simulation.At(change == 1 ? from : from + seconds(10), [=, &simulation] {
        simulation.links.Cut(sides[0], sides[1], change);
        simulation.links.Cut(sides[1], sides[0], one_way ? 0 : change);
      });
    }
    simulation.At(from,
                  [=, &simulation] { simulation.Pause(node, seconds(4)); });
  }
  simulation.At(seconds(12), [&] { simulation.Kill(1); });
  simulation.At(seconds(40), [&] {
    simulation.links.slow = 0.0;
    simulation.links.loss = 0.0;
  });
  simulation.RunUntil(seconds(70));
  INFO("seed " << seed);
  CHECK(simulation.HasConverged());
}

// Guards against message sizes that grow with the number of instances.
TEST_CASE("The size of a message is bounded") {
  GossipSimulation simulation(1, 200, 4);
  simulation.RunUntil(seconds(20));
  REQUIRE(simulation.HasConverged());
  simulation.measure = true;
  simulation.Kill(7);
  simulation.Kill(8);
  simulation.RunUntil(seconds(30));
  CHECK(simulation.largest < 1200);
}

// Guards against a field being lost in encoding or decoding, and against an age
// that is rounded down, which would extend a confirmation.
TEST_CASE("A message is unchanged by encoding and decoding") {
  const ControlDocument document =
      ApplyChange({}, RosterJoin{{EntryName("b"), ZoneName("z"), "x"}},
                  ChangeId("c"))
          .value();
  GossipMessage message;
  message.sender = Info(4, MemberState::kSuspect);
  message.control = {EntryName("b"),
                     ZoneName("z"),
                     1,
                     2,
                     std::chrono::nanoseconds(1),
                     false,
                     {{EntryName("b"), Milliseconds(250)}}};
  message.updates = {Info(1, MemberState::kRemoved)};
  message.wants_all = true;
  const Json::Value json = GossipMessageToJson(message, document);
  const Result<GossipMessage> decoded = GossipMessageFromJson(json, document);
  REQUIRE(decoded.ok());
  CHECK(decoded.value().sender == message.sender);
  CHECK(decoded.value().updates == message.updates);
  CHECK(decoded.value().wants_all);
  const PeerReport& control = decoded.value().control;
  CHECK(control.known_version == 2);
  CHECK_FALSE(control.reaches_store);
  CHECK(control.confirmation_age == Milliseconds(1));
  CHECK(control.outage_support.at(EntryName("b")) == Milliseconds(300));
  // With another roster epoch the characters would refer to other members.
  CHECK(GossipMessageFromJson(json, {}).value().control.outage_support.empty());
}

// Guards against malformed messages being decoded as valid ones.
TEST_CASE("Malformed messages are rejected") {
  GossipMessage message;
  message.sender = Info(1, MemberState::kAlive);
  message.control.name = EntryName("b");
  const Json::Value good = GossipMessageToJson(message, {});
  REQUIRE(GossipMessageFromJson(good, {}).ok());
  for (const std::string& name : good.getMemberNames()) {
    Json::Value bad = good;
    bad[name] = 7;
    CHECK_FALSE(GossipMessageFromJson(bad, {}).ok());
  }
  Json::Value negative = good;
  negative["control"]["age_ms"] = -1;
  CHECK_FALSE(GossipMessageFromJson(negative, {}).ok());
  Json::Value state = good;
  state["sender"][4] = 3;
  CHECK_FALSE(GossipMessageFromJson(state, {}).ok());
}

}  // namespace
}  // namespace daisyroad
