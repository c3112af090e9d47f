#include "Core/Site/team_allotments.h"

#include <catch2/catch.hpp>

#include "Core/Common/random.h"
#include "Core/Jobs/team_demand.h"
#include "Core/Site/persisted_workers.h"
#include "Core/Site/site_config.h"

namespace daisyroad {
namespace {

const TeamName kTeam("team");
const PoolName kFirst("first");
const PoolName kSecond("second");
const Resources kLimit{1000, 1000, 1000};

Resources All(std::int64_t value) {
  return Resources{value, value, value};
}

// A demand of one task.
TeamDemand Task(std::int64_t value) {
  TeamDemand demand;
  if (value > 0) {
    demand.total = All(value);
    demand.requests.Add(demand.total);
  }
  return demand;
}

// Guards against allotments of all pools together exceeding the limit.
TEST_CASE("Pools share a limit") {
  AllotmentTable table;
  CHECK(table.Adjust(kTeam, kFirst, kLimit, All(0), Task(600), false));
  CHECK(table.Usable(kTeam, kFirst, kLimit).cpu_millicores >= 600);
  table.Adjust(kTeam, kSecond, kLimit, All(0), Task(600), false);
  const Resources sum = table.Usable(kTeam, kFirst, kLimit) +
                        table.Usable(kTeam, kSecond, kLimit);
  CHECK(sum.cpu_millicores <= 1000);
}

// Guards against a pool keeping unused allotments while another pool waits.
TEST_CASE("A pool releases what it does not use") {
  AllotmentTable table;
  table.Adjust(kTeam, kFirst, kLimit, All(0), Task(1000), false);
  table.Adjust(kTeam, kFirst, kLimit, All(100), Task(0), true);
  CHECK(table.Usable(kTeam, kFirst, kLimit).cpu_millicores < 200);
  table.Adjust(kTeam, kSecond, kLimit, All(0), Task(500), false);
  CHECK(table.Usable(kTeam, kSecond, kLimit).cpu_millicores >= 500);
}

// Guards against starting tasks beyond a limit that has been lowered.
TEST_CASE("A lowered limit applies before allotments are released") {
  AllotmentTable table;
  table.Adjust(kTeam, kFirst, kLimit, All(0), Task(500), false);
  table.Adjust(kTeam, kSecond, kLimit, All(0), Task(250), false);
  const Resources lower = All(100);
  const Resources sum =
      table.Usable(kTeam, kFirst, lower) + table.Usable(kTeam, kSecond, lower);
  CHECK(sum.cpu_millicores <= 100);
}

// Guards against a scheduler that does not know all runs of its pool yet and
// gives away what they use.
TEST_CASE("Nothing is released before all runs are known") {
  AllotmentTable table;
  table.Adjust(kTeam, kFirst, kLimit, All(0), Task(500), false);
  table.Adjust(kTeam, kSecond, kLimit, All(0), Task(900), false);
  REQUIRE(table.IsWaiting(kTeam, kSecond));
  const std::string before = table.Serialize();
  for (const Resources& limit : {kLimit, All(100)}) {
    table.Adjust(kTeam, kFirst, limit, All(0), Task(0), false);
    CHECK(table.Serialize() == before);
  }
  CHECK(table.Adjust(kTeam, kFirst, kLimit, All(0), Task(0), true));
}

// Guards against exceeding the limit after any sequence of changes.
TEST_CASE("Random changes never allot more than the limit") {
  Random random(7);
  AllotmentTable table;
  for (int i = 0; i < 5000; ++i) {
    const PoolName pool = random.Chance(0.5) ? kFirst : kSecond;
    const Resources held = table.Usable(kTeam, pool, kLimit);
    const Resources used = All(static_cast<std::int64_t>(
        random.Below(static_cast<std::uint64_t>(held.cpu_millicores) + 1)));
    table.Adjust(kTeam, pool, kLimit, used,
                 Task(static_cast<std::int64_t>(random.Below(400))),
                 random.Chance(0.5));
    const Resources sum = table.Usable(kTeam, kFirst, kLimit) +
                          table.Usable(kTeam, kSecond, kLimit);
    REQUIRE(sum.cpu_millicores <= 1000);
    REQUIRE(used.FitsIn(table.Usable(kTeam, pool, kLimit)));
  }
}

// Guards against stored records that a later term cannot parse.
TEST_CASE("Allotments and workers can be read back from their records") {
  AllotmentTable table;
  table.Adjust(kTeam, kFirst, kLimit, All(0), Task(300), false);
  const Result<AllotmentTable> read = AllotmentTable::Parse(table.Serialize());
  REQUIRE(read.ok());
  CHECK(read.value().Serialize() == table.Serialize());
  CHECK_FALSE(AllotmentTable::Parse("[]").ok());
  CHECK_FALSE(AllotmentTable::Parse(R"({"t":{"p":[1,2]}})").ok());
  PersistedWorker worker;
  worker.listing.name = WorkerName("w");
  worker.listing.address = "10.0.0.1:80";
  worker.machine = MachineName("m");
  const Result<std::vector<PersistedWorker>> workers =
      ParsePersistedWorkers(SerializePersistedWorkers({worker}));
  REQUIRE(workers.ok());
  REQUIRE(workers.value().size() == 1);
  CHECK(workers.value()[0].machine == worker.machine);
  CHECK_FALSE(ParsePersistedWorkers("{\"w\":1}").ok());
}

}  // namespace
}  // namespace daisyroad
