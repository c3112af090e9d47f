#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <vector>

#include "Core/Limits/allotment_holder.h"
#include "Core/Limits/limit_ledger.h"

namespace daisyroad {
namespace {

const EntryName kSelf("e0");
const EntryName kOther("e1");
const TeamName kTeam("team");
const MonotonicTime kStart(std::chrono::hours(1));

LimitRecord MakeRecord(std::int64_t limit,
                       std::int64_t self_count,
                       std::int64_t other_count) {
  LimitRecord record{limit, 1, {}};
  record.allotments[kSelf].count = self_count;
  record.allotments[kOther].count = other_count;
  return record;
}

// Returns a holder in a roster of two that has read `record` at revision 5.
AllotmentHolder MakeHolder(const LimitRecord& record) {
  AllotmentHolder holder(kSelf, AllotmentHolder::Options(), 1);
  holder.SetRoster({kSelf, kOther}, kStart, kStart);
  holder.SetWaiting(kTeam, 0);
  holder.OnRecord(kTeam, LimitSnapshot{5, record}, kStart);
  return holder;
}

std::optional<WriteLimit> FirstWrite(const std::vector<LimitAction>& actions) {
  for (const LimitAction& action : actions) {
    if (const WriteLimit* write = std::get_if<WriteLimit>(&action)) {
      return *write;
    }
  }
  return std::nullopt;
}

int StartAll(AllotmentHolder* holder) {
  int started = 0;
  while (holder->TryStart(kTeam)) {
    started += 1;
  }
  return started;
}

// Guards against store records that another version cannot read.
TEST_CASE("A limit record is unchanged after formatting and parsing") {
  LimitRecord record = MakeRecord(10, 3, 4);
  record.allotments[kSelf].serial = 9;
  CHECK(ParseLimitRecord(FormatLimitRecord(record)).value() == record);
  CHECK(LimitKey(kTeam) == "limits/team");
  const std::string text = GENERATE(
      as<std::string>{}, "", "{}", R"({"limit":1,"limit_version":1})",
      R"({"limit":-1,"limit_version":1,"allotments":{}})",
      R"({"limit":1,"limit_version":1,"allotments":{"a":{"count":1}}})",
      R"({"limit":1,"limit_version":1,"allotments":{"a":{"count":-1,
          "serial":1}}})");
  CHECK_FALSE(ParseLimitRecord(text).ok());
}

// Guards against a change that raises the sum of allotments above the limit or
// makes an allotment negative.
TEST_CASE("No ledger change exceeds the limit") {
  const bool holds = rc::check([]() {
    const std::vector<int> steps =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1000000));
    LimitRecord record{20, 1, {}};
    for (const int step : steps) {
      const std::int64_t before = LimitLedger::Sum(record);
      const EntryName a("e" + std::to_string(step / 4 % 4));
      const EntryName b("e" + std::to_string(step / 16 % 4));
      const std::int64_t count = step / 64 % 30 - 5;
      switch (step % 5) {
        case 0:
          LimitLedger::Grant(&record, a, count);
          break;
        case 1:
          LimitLedger::Transfer(&record, a, b, count);
          RC_ASSERT(LimitLedger::Sum(record) == before);
          break;
        case 2:
          LimitLedger::Return(&record, a, count);
          break;
        case 3:
          LimitLedger::Reclaim(&record, a);
          break;
        default:
          LimitLedger::SetLimit(&record, std::max<std::int64_t>(0, count),
                                record.limit_version + 1);
      }
      const std::int64_t sum = LimitLedger::Sum(record);
      RC_ASSERT(sum <= std::max(before, record.limit));
      for (const std::pair<const EntryName, Allotment>& item :
           record.allotments) {
        RC_ASSERT(item.second.count >= 0);
        RC_ASSERT(LimitLedger::Target(record, item.first) >= 0);
      }
    }
  });
  CHECK(holds);
}

// Guards against an instance with an older configuration that reverts the
// limit.
TEST_CASE("An older limit does not replace a newer one") {
  LimitRecord record{5, 3, {}};
  CHECK_FALSE(LimitLedger::SetLimit(&record, 9, 3));
  CHECK(LimitLedger::SetLimit(&record, 9, 4));
  CHECK(record.limit == 9);
}

// Guards against the use of an allotment before its write is known to have
// taken effect.
TEST_CASE("A grant is usable only after the write is answered") {
  AllotmentHolder holder = MakeHolder(MakeRecord(10, 2, 0));
  holder.SetWaiting(kTeam, 8);
  const WriteLimit write = FirstWrite(holder.Tick(kStart)).value();
  CHECK(write.base == 5);
  CHECK(LimitLedger::Count(write.record, kSelf) == 9);
  CHECK(StartAll(&holder) == 2);
  holder.OnWriteAnswer(kTeam, write.serial, WriteOutcome::kWritten, 6, kStart);
  CHECK(StartAll(&holder) == 7);
}

// Guards against allotment that both sides of a transfer use after the answer
// to its write is lost.
TEST_CASE("A transferred part is not used while the write is pending") {
  AllotmentHolder holder = MakeHolder(MakeRecord(10, 10, 0));
  holder.OnPeerDemand(kTeam, kOther, PeerDemand{6, 0}, kStart);
  const WriteLimit write = FirstWrite(holder.Tick(kStart)).value();
  CHECK(LimitLedger::Count(write.record, kOther) == 6);
  const std::vector<LimitAction> read = holder.OnWriteAnswer(
      kTeam, write.serial, WriteOutcome::kNoAnswer, 0, kStart);
  REQUIRE(read.size() == 1);
  CHECK(std::holds_alternative<ReadLimit>(read[0]));
  SECTION("not yet visible: the same write is repeated") {
    holder.OnRecord(kTeam, LimitSnapshot{5, MakeRecord(10, 10, 0)}, kStart);
    CHECK(StartAll(&holder) == 4);
    const WriteLimit again =
        FirstWrite(holder.Tick(kStart + Milliseconds(500))).value();
    CHECK(again.base == 5);
    CHECK(again.record == write.record);
  }
  SECTION("written") {
    holder.OnRecord(kTeam, LimitSnapshot{6, write.record}, kStart);
    CHECK(StartAll(&holder) == 4);
  }
  SECTION("another write came first") {
    holder.OnRecord(kTeam, LimitSnapshot{6, MakeRecord(10, 10, 0)}, kStart);
    CHECK(StartAll(&holder) == 10);
  }
  SECTION("store outage: the remaining part stays usable") {
    holder.OnRecord(kTeam, std::nullopt, kStart);
    CHECK(StartAll(&holder) == 4);
  }
}

// Guards against returning allotment that a running task still uses.
TEST_CASE("Excess over a lowered limit is returned as tasks end") {
  AllotmentHolder holder = MakeHolder(MakeRecord(10, 10, 0));
  CHECK(StartAll(&holder) == 10);
  holder.SetLimit(kTeam, 4, 2);
  WriteLimit write = FirstWrite(holder.Tick(kStart)).value();
  CHECK(write.record.limit == 4);
  CHECK(LimitLedger::Count(write.record, kSelf) == 10);
  holder.OnWriteAnswer(kTeam, write.serial, WriteOutcome::kWritten, 6, kStart);
  holder.OnFinished(kTeam);
  holder.OnFinished(kTeam);
  CHECK_FALSE(holder.TryStart(kTeam));
  write = FirstWrite(holder.Tick(kStart + std::chrono::seconds(1))).value();
  CHECK(LimitLedger::Count(write.record, kSelf) == 8);
}

// Guards against reclaiming an allotment while the holder's tasks can still
// run, and against reclaiming by an instance whose roster is older than the
// holder.
TEST_CASE("A dead holder is reclaimed after freshness, lease and margin") {
  AllotmentHolder holder = MakeHolder(MakeRecord(10, 0, 10));
  holder.SetWaiting(kTeam, 3);
  holder.SetRoster({kSelf}, kStart, kStart);
  holder.Tick(kStart);
  const MonotonicTime late = kStart + std::chrono::seconds(20);
  CHECK_FALSE(FirstWrite(holder.Tick(late)).has_value());
  holder.SetRoster({kSelf}, kStart + std::chrono::milliseconds(8999), late);
  CHECK_FALSE(FirstWrite(holder.Tick(late)).has_value());
  holder.SetRoster({kSelf}, kStart + std::chrono::seconds(9), late);
  const WriteLimit write = FirstWrite(holder.Tick(late)).value();
  CHECK_FALSE(write.record.allotments.contains(kOther));
  CHECK(LimitLedger::Count(write.record, kSelf) == 3);
}

// Guards against a holder that takes an allotment again after its own was
// reclaimed.
TEST_CASE("A reclaimed holder starts nothing and writes nothing") {
  AllotmentHolder holder = MakeHolder(MakeRecord(10, 5, 0));
  LimitRecord record = MakeRecord(10, 5, 0);
  LimitLedger::Reclaim(&record, kSelf);
  holder.OnRecord(kTeam, LimitSnapshot{6, record}, kStart);
  holder.SetWaiting(kTeam, 5);
  CHECK_FALSE(holder.TryStart(kTeam));
  CHECK(holder.Tick(kStart + std::chrono::seconds(1)).empty());
  CHECK(holder.Find(kTeam)->evicted());
}

// Guards against an instance whose queue is blocked because busy peers hold the
// whole limit.
TEST_CASE("The largest busy holder transfers to a peer without allotment") {
  AllotmentHolder holder = MakeHolder(MakeRecord(10, 10, 0));
  CHECK(StartAll(&holder) == 10);
  holder.SetWaiting(kTeam, 20);
  holder.OnPeerDemand(kTeam, kOther, PeerDemand{5, 0}, kStart);
  CHECK_FALSE(FirstWrite(holder.Tick(kStart)).has_value());
  holder.OnFinished(kTeam);
  CHECK_FALSE(holder.TryStart(kTeam));
  const WriteLimit write =
      FirstWrite(holder.Tick(kStart + Milliseconds(100))).value();
  CHECK(LimitLedger::Count(write.record, kOther) == 1);
}

// Guards against store writes for small or short changes of demand, against
// idle allotment that an instance with a burst cannot take, and against an
// instance that cannot start any task while the store is down (load_store_down,
// 201).
TEST_CASE("Idle allotment above the reserve is returned after a delay") {
  AllotmentHolder holder = MakeHolder(MakeRecord(10, 10, 0));
  holder.SetWaiting(kTeam, 8);
  CHECK(holder.Tick(kStart).empty());
  CHECK(holder.Tick(kStart + std::chrono::seconds(1)).empty());
  holder.SetWaiting(kTeam, 2);
  MonotonicTime now = kStart + std::chrono::seconds(2);
  CHECK(holder.Tick(now).empty());
  CHECK(holder.Tick(now + Milliseconds(249)).empty());
  const WriteLimit write =
      FirstWrite(holder.Tick(now + Milliseconds(250))).value();
  CHECK(LimitLedger::Count(write.record, kSelf) == 5);
}

// Guards against a reserve that peers without enough allotment cannot use.
TEST_CASE("An idle holder gives its reserve to a peer that needs it") {
  AllotmentHolder holder = MakeHolder(MakeRecord(10, 5, 5));
  holder.OnPeerDemand(kTeam, kOther, PeerDemand{10, 5}, kStart);
  const WriteLimit write = FirstWrite(holder.Tick(kStart)).value();
  CHECK(LimitLedger::Count(write.record, kOther) == 10);
  CHECK(LimitLedger::Count(write.record, kSelf) == 0);
}

}  // namespace
}  // namespace daisyroad
