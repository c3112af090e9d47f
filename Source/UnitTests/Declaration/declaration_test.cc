#include <catch2/catch.hpp>
#include <chrono>
#include <fstream>
#include <iterator>

#include "Core/Declaration/duration_text.h"
#include "Core/Declaration/parse_declaration.h"
#include "Core/Declaration/write_declaration.h"
#include "UnitTests/Declaration/sample_text.h"

namespace daisyroad {
namespace {

Declaration ParseOrFail(const std::string& text) {
  const Result<Declaration> result = ParseDeclaration(text, "d.toml");
  INFO((result.ok() ? "" : result.error().detail));
  REQUIRE(result.ok());
  return result.value();
}

std::string ReadExample(const std::string& site) {
  std::ifstream file(std::string(DAISYROAD_EXAMPLES) + "/" + site +
                     "/declaration.toml");
  return {std::istreambuf_iterator<char>(file), {}};
}

// Guards against fields stored in the wrong member and against wrong defaults.
TEST_CASE("A declaration is parsed into its typed form") {
  const Declaration declaration = ParseOrFail(kSampleText);
  const Pool* pool = declaration.FindPool(PoolName("rigging"));
  REQUIRE(pool != nullptr);
  CHECK(pool->workers.at(ZoneName("north")) == 4);
  CHECK(pool->worker == WorkerResources{64, 128, 0, 8, 64});
  const Service* catalogue = declaration.FindService(ServiceName("catalogue"));
  REQUIRE(catalogue != nullptr);
  CHECK(catalogue->budget == AvailabilityBudget(MaxDownFraction{0.25}));
  CHECK(catalogue->service_level == 0.99);
  const TaskQueue* queue = declaration.FindQueue(QueueName("rigging-slots"));
  REQUIRE(queue != nullptr);
  CHECK(queue->queue_class == QueueClass::kUrgent);
  CHECK(queue->when_isolated == WhenIsolated::kRefuse);
  CHECK_FALSE(queue->idempotent);
  CHECK(queue->default_deadline == std::chrono::seconds(3));
  CHECK(declaration.FindTeam(TeamName("schools"))->upper_limit == 20);
  CHECK(declaration.FindTeam(TeamName("fairs")) == nullptr);
  CHECK(declaration.maintenance.interval == std::chrono::hours(24 * 49));
  REQUIRE(declaration.maintenance.windows.size() == 1);
  const MaintenanceWindow& window = declaration.maintenance.windows[0];
  CHECK(window.weekday == std::chrono::Tuesday);
  CHECK(window.Length() == std::chrono::hours(7));
}

// Guards against examples that no longer match the parser or design 1.3.
TEST_CASE("The example declarations have the sizes of the sites") {
  const Declaration izarra = ParseOrFail(ReadExample("izarra"));
  const Declaration liitto = ParseOrFail(ReadExample("liitto"));
  CHECK(izarra.zones.size() == 4);
  CHECK(liitto.zones.size() == 3);
  for (const Declaration* site : {&izarra, &liitto}) {
    std::int64_t total = 0;
    for (const Pool& pool : site->pools) {
      CHECK(pool.TotalWorkers() >= 8);
      CHECK(pool.TotalWorkers() <= 12);
      total += pool.TotalWorkers();
    }
    CHECK(total == 50);
    CHECK(site->pools.size() == 5);
    CHECK(site->teams.size() == 6);
  }
}

// Guards against a writer that drops or alters a field.
TEST_CASE("A written declaration is read back unchanged") {
  for (const std::string& text :
       {kSampleText, ReadExample("izarra"), ReadExample("liitto")}) {
    const Declaration declaration = ParseOrFail(text);
    CHECK(ParseOrFail(WriteDeclaration(declaration)) == declaration);
  }
}

// Guards against overflow and against accepting unknown or missing units.
TEST_CASE("Durations need a whole number and a known unit") {
  CHECK(ParseDuration("500ms") == Milliseconds(500));
  CHECK(ParseDuration("3s") == Milliseconds(3'000));
  CHECK(ParseDuration("10min") == Milliseconds(600'000));
  CHECK(ParseDuration("2h") == Milliseconds(7'200'000));
  CHECK(ParseDuration("3650d").has_value());
  for (const char* text : {"", "3", "s", "-3s", "+3s", "1.5s", "3 s", "3S",
                           "3651d", "99999999999999999999ms", "3s "}) {
    INFO(text);
    CHECK_FALSE(ParseDuration(text).has_value());
  }
}

// Guards against a fraction that allows one worker too many to be down.
TEST_CASE("A fractional budget rounds down") {
  CHECK(AllowedDown(MaxDownFraction{0.25}, 11) == 2);
  CHECK(AllowedDown(MaxDownFraction{0.29}, 100) == 29);
  CHECK(AllowedDown(MaxDownFraction{0}, 100) == 0);
  CHECK(AllowedDown(MaxDownCount{5}, 3) == 3);
}

}  // namespace
}  // namespace daisyroad
