#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <vector>

#include "Core/Claims/claim_registry.h"
#include "Core/Claims/outage_proof.h"

namespace daisyroad {
namespace {

using Outcome = ClaimRegistry::Outcome;

const EntryName kSelf("e0");
const EntryName kOther("e1");
const MonotonicTime kStart(std::chrono::hours(1));

ClaimRoster MakeRoster(std::uint64_t epoch,
                       const std::vector<EntryName>& names) {
  ClaimRoster roster;
  roster.epoch = epoch;
  for (const EntryName& name : names) {
    roster.members.push_back(ClaimMember{name, ZoneName("za")});
  }
  return roster;
}

template <typename T, typename Action>
std::vector<T> ActionsOfType(const std::vector<Action>& actions) {
  std::vector<T> found;
  for (const Action& action : actions) {
    if (const T* item = std::get_if<T>(&action)) {
      found.push_back(*item);
    }
  }
  return found;
}

// Returns a serving registrar that is the only member of epoch 1.
ClaimRegistry MakeServingRegistry(ClaimRegistry::Options options = {}) {
  ClaimRegistry registry(kSelf, options);
  registry.StartEpoch(MakeRoster(1, {kSelf}), {}, false, kStart);
  REQUIRE(registry.serving());
  return registry;
}

// Guards against store records that another version cannot read, and against
// fields that are lost when a record is written and read back.
TEST_CASE("A claim batch is unchanged after formatting and parsing") {
  const ClaimBatch batch{
      kSelf, true, true, {{"k \"1\"", TaskId("t"), ClaimState::kNotRun}}};
  CHECK(ParseClaimBatch(FormatClaimBatch(batch)).value() == batch);
  CHECK(ClaimKey({3, kSelf}, 7) == "claims/3/e0/000000000007");
  const std::string text = GENERATE(
      as<std::string>{}, "", "{}", R"({"writer":"a","seal":1})",
      R"({"writer":"a","seal":false,"clean":false,"records":[{"key":"k"}]})",
      R"({"writer":"a","seal":false,"clean":false,"records":
          [{"key":"k","task":"t","state":"x"}]})");
  CHECK_FALSE(ParseClaimBatch(text).ok());
}

// Guards against keys of a zone that cannot be submitted while the zone is cut
// off, because their registrar is in another zone.
TEST_CASE("A key with a zone prefix has its registrar in that zone") {
  ClaimRoster roster = MakeRoster(1, {kSelf, EntryName("e2"), EntryName("e3")});
  roster.members.push_back(ClaimMember{kOther, ZoneName("zb")});
  for (int i = 0; i < 50; ++i) {
    CHECK(ChooseRegistrar("zb/" + std::to_string(i), roster) == kOther);
    CHECK(ChooseRegistrar("za/" + std::to_string(i), roster) != kOther);
  }
  CHECK(ChooseRegistrar("zc/1", roster).has_value());
  CHECK_FALSE(ChooseRegistrar("k", ClaimRoster()).has_value());
}

// Guards against a separate store write for each request.
TEST_CASE("Claims within 10 ms share one write") {
  ClaimRegistry registry = MakeServingRegistry();
  registry.Submit("a", TaskId("t1"), kStart);
  registry.Submit("b", TaskId("t2"), kStart + Milliseconds(9));
  CHECK(registry.Tick(kStart + Milliseconds(9)).empty());
  const std::vector<CreateBatch> writes =
      ActionsOfType<CreateBatch>(registry.Tick(kStart + Milliseconds(10)));
  REQUIRE(writes.size() == 1);
  CHECK(writes[0].batch.records.size() == 2);
  const std::vector<ClaimAction> done = registry.OnCreateAnswer(
      writes[0].log, 0, CreateOutcome::kCreated, kStart);
  CHECK(ActionsOfType<ClaimReady>(done).size() == 2);
}

// Guards against a claim that is treated as failed, or a task that is sent
// twice, because the answer to the write was lost and the following read is
// stale.
TEST_CASE("The log is read after the answer to a write is lost") {
  ClaimRegistry registry = MakeServingRegistry();
  registry.Submit("a", TaskId("t1"), kStart);
  MonotonicTime now = kStart + Milliseconds(10);
  const CreateBatch write =
      ActionsOfType<CreateBatch>(registry.Tick(now)).at(0);
  CHECK(ActionsOfType<ReadLog>(registry.OnCreateAnswer(
                                   write.log, 0, CreateOutcome::kNoAnswer, now))
            .size() == 1);
  CHECK(registry.OnReadAnswer(write.log, 0, LogPage(), now).empty());
  now += Milliseconds(100);
  CHECK(ActionsOfType<CreateBatch>(registry.Tick(now)).at(0).batch ==
        write.batch);
  registry.OnCreateAnswer(write.log, 0, CreateOutcome::kExists, now);
  registry.OnReadAnswer(write.log, 0, LogPage(), now);
  now += Milliseconds(100);
  CHECK(ActionsOfType<ReadLog>(registry.Tick(now)).size() == 1);
  const LogPage page = {{0, write.batch}};
  CHECK(
      ActionsOfType<ClaimReady>(registry.OnReadAnswer(write.log, 0, page, now))
          .size() == 1);
}

// Guards against a registrar that resumes after a pause and continues to write
// claims to a log that others have sealed.
TEST_CASE("A sealed log refuses claims as not run") {
  ClaimRegistry registry = MakeServingRegistry();
  registry.Submit("a", TaskId("t1"), kStart);
  const MonotonicTime now = kStart + Milliseconds(10);
  const LogName log = ActionsOfType<CreateBatch>(registry.Tick(now)).at(0).log;
  registry.OnCreateAnswer(log, 0, CreateOutcome::kExists, now);
  const LogPage page = {{0, ClaimBatch{kOther, true, false, {}}}};
  CHECK(ActionsOfType<ClaimRefused>(registry.OnReadAnswer(log, 0, page, now))
            .size() == 1);
  CHECK(registry.Submit("a", TaskId("t2"), now).first.outcome ==
        Outcome::kNotServing);
}

// Guards against a second run while the first task may still run.
TEST_CASE("A key is free again only after its task is known not to have run") {
  ClaimRegistry registry = MakeServingRegistry();
  CHECK(registry.Submit("a", TaskId("t1"), kStart).first.outcome ==
        Outcome::kClaiming);
  CHECK(registry.Submit("a", TaskId("t2"), kStart).first.outcome ==
        Outcome::kDuplicate);
  registry.OnFate("a", TaskId("t1"), ClaimState::kUnknown, kStart);
  CHECK(registry.Submit("a", TaskId("t2"), kStart).first.outcome ==
        Outcome::kDuplicate);
  registry.OnFate("a", TaskId("t0"), ClaimState::kNotRun, kStart);
  CHECK(registry.Submit("a", TaskId("t2"), kStart).first.outcome ==
        Outcome::kDuplicate);
  registry.OnFate("a", TaskId("t1"), ClaimState::kNotRun, kStart);
  CHECK(registry.Submit("a", TaskId("t2"), kStart).first.outcome ==
        Outcome::kClaiming);
}

// Guards against a new registrar that serves keys before it knows the claims of
// an earlier one, including those that were held only in memory.
TEST_CASE("A lost registrar's keys are unknown for the retention time") {
  const bool outage = GENERATE(true, false);
  ClaimRegistry registry(kSelf, ClaimRegistry::Options());
  registry.StartEpoch(MakeRoster(2, {kSelf}), {MakeRoster(1, {kOther})}, outage,
                      kStart);
  CHECK(registry.Submit("a", TaskId("t2"), kStart).first.outcome ==
        Outcome::kNotServing);
  const LogName log{1, kOther};
  const LogPage page = {
      {0, ClaimBatch{
              kOther, false, false, {{"a", TaskId("t1"), ClaimState::kOpen}}}}};
  registry.OnReadAnswer(log, 0, page, kStart);
  const std::vector<CreateBatch> seals = ActionsOfType<CreateBatch>(
      registry.OnReadAnswer(log, 1, LogPage(), kStart));
  REQUIRE(seals.size() == 1);
  CHECK(seals[0].seq == 1);
  CHECK(seals[0].batch.seal);
  registry.OnCreateAnswer(log, 1, CreateOutcome::kCreated, kStart);
  registry.Tick(kStart);
  REQUIRE(registry.serving());
  const ClaimRegistry::Answer known =
      registry.Submit("a", TaskId("t2"), kStart).first;
  CHECK(known.outcome == Outcome::kDuplicate);
  CHECK(known.state == ClaimState::kUnknown);
  CHECK(registry.Submit("b", TaskId("t3"), kStart).first.outcome ==
        (outage ? Outcome::kUnknown : Outcome::kClaiming));
  const MonotonicTime later = kStart + std::chrono::minutes(11);
  registry.Tick(later);
  CHECK(registry.Submit("c", TaskId("t4"), later).first.outcome ==
        Outcome::kClaiming);
}

// Guards against a store outage that blocks all requests with a key, and
// against claims of the outage that are never written.
TEST_CASE("Claims are held in memory during an agreed outage, then flushed") {
  ClaimRegistry registry = MakeServingRegistry();
  registry.Submit("a", TaskId("t1"), kStart);
  CHECK(ActionsOfType<ClaimReady>(registry.SetAgreedOutage(true)).size() == 1);
  CHECK(ActionsOfType<ClaimReady>(
            registry.Submit("b", TaskId("t2"), kStart).second)
            .size() == 1);
  CHECK(registry.SetAgreedOutage(false).empty());
  CHECK(ActionsOfType<ClaimReady>(
            registry.Submit("c", TaskId("t3"), kStart).second)
            .empty());
  const std::vector<CreateBatch> writes =
      ActionsOfType<CreateBatch>(registry.Tick(kStart + Milliseconds(10)));
  REQUIRE(writes.size() == 1);
  REQUIRE(writes[0].batch.records.size() == 3);
  CHECK(writes[0].batch.records[0].key == "a");
  const std::vector<ClaimAction> done = registry.OnCreateAnswer(
      writes[0].log, 0, CreateOutcome::kCreated, kStart);
  CHECK(ActionsOfType<ClaimReady>(done).size() == 1);
  CHECK(registry.unflushed() == 0);
}

// Guards against memory and store usage that grow with the number of requests.
TEST_CASE("Claims expire and logs are trimmed after the retention time") {
  ClaimRegistry::Options options;
  options.max_entries = 100;
  ClaimRegistry registry = MakeServingRegistry(options);
  MonotonicTime now = kStart;
  std::uint64_t trimmed = 0;
  for (int i = 0; i < 3000; ++i) {
    now += std::chrono::seconds(10);
    const std::string key = "k" + std::to_string(i);
    REQUIRE(registry.Submit(key, TaskId(key), now).first.outcome ==
            Outcome::kClaiming);
    registry.OnFate(key, TaskId(key), ClaimState::kRan, now);
    now += Milliseconds(20);
    for (const ClaimAction& action : registry.Tick(now)) {
      if (const CreateBatch* write = std::get_if<CreateBatch>(&action)) {
        registry.OnCreateAnswer(write->log, write->seq, CreateOutcome::kCreated,
                                now);
      }
      if (const TrimLog* trim = std::get_if<TrimLog>(&action)) {
        trimmed = trim->below;
      }
    }
    now += Milliseconds(20);
    for (const TrimLog& trim : ActionsOfType<TrimLog>(registry.Tick(now))) {
      trimmed = trim.below;
    }
  }
  CHECK(registry.size() <= 62);
  CHECK(trimmed > 2900);
  CHECK(trimmed < 2960);
}

// Guards against memory exhaustion by a large number of keys.
TEST_CASE("A full registry rejects new keys as not run") {
  ClaimRegistry::Options options;
  options.max_entries = 1;
  ClaimRegistry registry = MakeServingRegistry(options);
  registry.Submit("a", TaskId("t1"), kStart);
  CHECK(registry.Submit("b", TaskId("t2"), kStart).first.outcome ==
        Outcome::kFull);
}

const ClaimRoster kFourMembers{1,
                               {{EntryName("n1"), ZoneName("north")},
                                {EntryName("s1"), ZoneName("south")},
                                {EntryName("n2"), ZoneName("north")},
                                {EntryName("s2"), ZoneName("south")}}};
constexpr Milliseconds kFreshness{3000};

// Members that are not in `absences` may have been without the store at any
// time.
bool MayHaveOutage(
    const ClaimRoster& roster,
    const std::map<EntryName, std::vector<StoreAbsence>>& absences) {
  return MayHaveAgreedOutage(roster, absences, kFreshness);
}

StoreAbsence MakeAbsence(int from_ms, int to_ms) {
  const MonotonicTime start(std::chrono::hours(1));
  return {start + Milliseconds(from_ms), start + Milliseconds(to_ms)};
}

// Guards against keys that are answered as unknown for ten minutes after two of
// four instances were replaced, although the store was always reachable (soak
// seed 1), and against losing claims that were held only in memory.
TEST_CASE("An agreed outage requires a majority and every zone") {
  CHECK(MayHaveOutage(kFourMembers, {}));
  CHECK(MayHaveOutage(kFourMembers, {{EntryName("n1"), {}}}));
  CHECK(MayHaveOutage(kFourMembers,
                      {{EntryName("n1"), {}}, {EntryName("other"), {}}}));
  // Half of the members are not a majority, whether from one zone or two.
  CHECK_FALSE(MayHaveOutage(kFourMembers,
                            {{EntryName("n1"), {}}, {EntryName("s1"), {}}}));
  CHECK_FALSE(MayHaveOutage(kFourMembers,
                            {{EntryName("n1"), {}}, {EntryName("n2"), {}}}));
  const ClaimRoster zones{2,
                          {{EntryName("a"), ZoneName("a")},
                           {EntryName("b"), ZoneName("b")},
                           {EntryName("c"), ZoneName("c")}}};
  // Two of three are a majority, but it has no member of zone a.
  CHECK_FALSE(MayHaveOutage(zones, {{EntryName("a"), {}}}));
  CHECK(MayHaveOutage(zones, {}));
}

// Guards against keys that stay unknown because several instances briefly lost
// the store at different times (soak seed 4), and against losing claims after
// an actual outage.
TEST_CASE("An agreed outage requires absences at the same time") {
  // s2 has ended and reports nothing.
  const std::map<EntryName, std::vector<StoreAbsence>> apart = {
      {EntryName("n1"), {MakeAbsence(3000, 3800), MakeAbsence(20000, 21000)}},
      {EntryName("s1"), {}},
      {EntryName("n2"), {MakeAbsence(10000, 11000)}}};
  CHECK_FALSE(MayHaveOutage(kFourMembers, apart));
  const std::map<EntryName, std::vector<StoreAbsence>> outage = {
      {EntryName("n1"), {MakeAbsence(5000, 8500)}},
      {EntryName("s1"), {}},
      {EntryName("n2"), {MakeAbsence(5200, 8400)}}};
  CHECK(MayHaveOutage(kFourMembers, outage));
  // A short outage is enough: a member without contact to the others uses their
  // last reports until they are older than the time an agreement takes.
  const std::map<EntryName, std::vector<StoreAbsence>> brief = {
      {EntryName("n1"), {MakeAbsence(6700, 7500)}},
      {EntryName("s1"), {}},
      {EntryName("n2"), {MakeAbsence(6500, 7300)}}};
  CHECK(MayHaveOutage(kFourMembers, brief));
}

// Guards against an unbounded number of intervals, and against merging that
// shortens them.
TEST_CASE("Store absences are merged, never shortened") {
  StoreAbsences absences;
  MonotonicTime now(std::chrono::hours(1));
  const MonotonicTime first = now;
  for (int i = 0; i < 1000; ++i) {
    absences.RecordReachability(false, now);
    absences.RecordReachability(true, now + Milliseconds(100));
    now += Milliseconds(2000);
  }
  REQUIRE(absences.intervals().size() == 64);
  CHECK(absences.intervals().front().from == first);
  absences.RecordReachability(false, now);
  absences.RecordReachability(false, now + Milliseconds(200));
  CHECK(absences.intervals().back().to == now + Milliseconds(200));
  absences.ForgetBefore(now);
  CHECK(absences.intervals().size() == 1);
}

}  // namespace
}  // namespace daisyroad
