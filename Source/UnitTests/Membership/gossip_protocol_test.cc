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

// Guards against a late statement that revives a removed member or hides a
// refutation.
TEST_CASE("Statements are ordered by incarnation, then by state") {
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
  CHECK(table.Expire(now + MemberTable::kRemovedTime).empty());
  CHECK(table.Find(EntryName("b")) == nullptr);
}

// Guards against an instance that accepts its own removal.
TEST_CASE("An instance refutes statements against itself") {
  MemberTable table({EntryName("a"), ZoneName("z"), "", 3, {}});
  CHECK(table.Merge(
      {EntryName("a"), ZoneName("z"), "", 3, MemberState::kRemoved}, {}));
  CHECK(table.self().incarnation == 4);
  CHECK(table.self().state == MemberState::kAlive);
}

// Guards against a joiner that knows the seed only, and against a crash that
// is noticed too early or too late.
TEST_CASE("Members find each other and remove a crashed one") {
  const std::size_t nodes = GENERATE(9, 50);
  GossipSimulation simulation(1, nodes, 3);
  simulation.RunUntil(seconds(8));
  REQUIRE(simulation.Agree());
  simulation.Kill(4);
  simulation.RunUntil(seconds(12) + Milliseconds(900));
  CHECK_FALSE(simulation.Agree());
  simulation.RunUntil(seconds(18));
  CHECK(simulation.Agree());
}

// Guards against taking a one-way cut for a crash.
TEST_CASE("A one-way cut between two instances removes nobody") {
  GossipSimulation simulation(1, 9, 3);
  simulation.RunUntil(seconds(8));
  simulation.links.Cut({2}, {5}, 1);
  bool through_others = false;
  for (int second = 9; second < 40; ++second) {
    simulation.RunUntil(seconds(second));
    CHECK(simulation.Agree());
    through_others =
        through_others ||
        simulation.TableOf(2).Find(GossipSimulation::NameOf(5))->reachability ==
            Reachability::kThroughOthers;
  }
  CHECK(through_others);
}

// Guards against a pause that removes the paused instance for good or makes it
// suspect the others when it resumes.
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
  CHECK(simulation.Agree());
}

// Guards against halves that never meet again after any mix of cuts, loss,
// delay, pauses and crashes.
TEST_CASE("Members agree again after the faults have ended") {
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
  CHECK(simulation.Agree());
}

// Guards against messages that grow with the number of instances.
TEST_CASE("The size of a message has a bound") {
  GossipSimulation simulation(1, 200, 4);
  simulation.RunUntil(seconds(20));
  REQUIRE(simulation.Agree());
  simulation.measure = true;
  simulation.Kill(7);
  simulation.Kill(8);
  simulation.RunUntil(seconds(30));
  CHECK(simulation.largest < 1200);
}

// Guards against a codec that loses a field or confirms for too long.
TEST_CASE("A message survives its codec") {
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
  // Another roster epoch: the characters would name other members.
  CHECK(GossipMessageFromJson(json, {}).value().control.outage_support.empty());
}

// Guards against malformed messages that are taken for valid ones.
TEST_CASE("Malformed messages are refused") {
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
