#include <catch2/catch.hpp>

#include "Core/Declaration/parse_declaration.h"
#include "UnitTests/Declaration/sample_text.h"

namespace daisyroad {
namespace {

std::string ErrorOf(const std::string& text) {
  const Result<Declaration> result = ParseDeclaration(text, "d.toml");
  return result.ok() ? "" : result.error().detail;
}

struct BadEdit {
  const char* from;
  const char* to;
  const char* expected;
};

const BadEdit kBadEdits[] = {
    {"share = 4", "share = 0",
     "d.toml:29: teams[0].share: must be a positive integer of at most "
     "1000000"},
    {"share = 4", "share = \"4\"",
     "d.toml:29: teams[0].share: must be a positive integer of at most "
     "1000000"},
    {"share = 4", "shares = 4",
     "d.toml:27: teams[0].share: is missing\n"
     "d.toml:29: teams[0].shares: unknown field"},
    {"upper_limit = 20", "upper_limit = -1",
     "d.toml:30: teams[0].upper_limit: must be an integer from 0 to 10000000"},
    {"site = \"izarra\"", "site = \"Izarra!\"",
     "d.toml:1: site: must be a name of 1 to 64 characters from a-z, 0-9, '-' "
     "and '_'"},
    {"[\"hills\"]", "[\"hills\", \"hills\"]",
     "d.toml:2: regions[1]: duplicate name \"hills\""},
    {"[\"hills\"]", "[]",
     "d.toml:2: regions: must not be empty\n"
     "d.toml:5: zones[0].region: region \"hills\" is not declared"},
    {"region = \"hills\"", "region = \"coast\"",
     "d.toml:5: zones[0].region: region \"coast\" is not declared"},
    {"{ north = 4 }", "{ south = 4 }",
     "d.toml:8: pools[0].workers.south: zone \"south\" is not declared"},
    {"{ north = 4 }", "4", "d.toml:8: pools[0].workers: must be a table"},
    {"cores = 64", "cores = 6.5",
     "d.toml:9: pools[0].cores: must be a positive integer of at most 100000"},
    {"cores = 64", "cores = 64\nspare = 1",
     "d.toml:10: pools[0].spare: must be true or false"},
    {"name = \"rigging\"\npool", "name = \"catalogue\"\npool",
     "d.toml:18: services[1].name: duplicate name \"catalogue\"\n"
     "d.toml:24: queues[0].service: service \"rigging\" is not declared"},
    {"pool = \"rigging\"", "pool = \"spare\"",
     "d.toml:15: services[0].pool: pool \"spare\" is not declared"},
    {"[\"catalogue\"]", "[\"rigging\"]",
     "d.toml:20: services[1].depends_on[0]: dependency cycle: rigging -> "
     "rigging"},
    {"max_down_fraction = 0.25",
     "max_down_fraction = 0.25\ndepends_on = [\"rigging\"]",
     "d.toml:21: services[1].depends_on[0]: dependency cycle: catalogue -> "
     "rigging -> catalogue"},
    {"max_down_fraction = 0.25", "max_down_fraction = nan",
     "d.toml:16: services[0].max_down_fraction: must be a number from 0 to 1"},
    {"max_down = 2", "max_down = 2\nmax_down_fraction = 0.5",
     "d.toml:21: services[1].max_down: exactly one of max_down and "
     "max_down_fraction is required"},
    {"class = \"urgent\"", "class = \"fast\"",
     "d.toml:25: queues[0].class: must be one of \"urgent\", \"long\""},
    {"\"3s\"", "3",
     "d.toml:26: queues[0].default_deadline: must be a duration from \"10ms\" "
     "to \"7d\""},
    {"\"3s\"", "\"3 s\"",
     "d.toml:26: queues[0].default_deadline: must be a duration from \"10ms\" "
     "to \"7d\""},
    {"[\"rigging-slots\"]", "[\"permits\", 3]",
     "d.toml:31: teams[0].queues[0]: queue \"permits\" is not declared\n"
     "d.toml:31: teams[0].queues[1]: must be a non-empty string"},
    {"\"49d\"", "\"90min\"",
     "d.toml:33: maintenance.interval: must be a whole number of hours"},
    {"\"tuesday\"", "\"tue\"",
     "d.toml:34: maintenance.windows[0].weekday: must be one of \"sunday\", "
     "\"monday\", \"tuesday\", \"wednesday\", \"thursday\", \"friday\", "
     "\"saturday\""},
    {"\"04:00\"", "\"24:00\"",
     "d.toml:34: maintenance.windows[0].end: must be a time of day from "
     "\"00:00\" to \"23:59\" in UTC"},
    {"[maintenance]", "[maintainance]",
     "d.toml:32: maintainance: unknown field"},
    {"[[teams]]", "[teams]", "d.toml:27: teams: must be an array of tables"},
    {"share = 4", "share = 1979-05-27",
     "d.toml:29: teams[0].share: must be a positive integer of at most "
     "1000000"},
    {"\"hills\"", "\"hi\xC0\xAFlls\"", "d.toml:2: is not valid UTF-8"},
    {"share = 4", "\"\xED\xA0\x80\" = 4", "d.toml:29: is not valid UTF-8"},
};

// Guards against errors with a wrong or missing line or field.
TEST_CASE("Each fault names file, line and field") {
  const BadEdit& edit =
      GENERATE(from_range(std::begin(kBadEdits), std::end(kBadEdits)));
  INFO(edit.from << " => " << edit.to);
  CHECK(ErrorOf(Edited(edit.from, edit.to)) == edit.expected);
}

// Guards against reporting only the first error of a file.
TEST_CASE("All faults are reported in one go, in the order of the text") {
  const std::string text =
      "queues = 3\nsite = 1\nregions = [\"r\"]\nextra = 1\n"
      "[[teams]]\nshare = -1\nupper_limit = 1\nname = \"a\"\n"
      "queues = [\"none\"]\n";
  CHECK(ErrorOf(text) ==
        "d.toml:1: queues: must be an array of tables\n"
        "d.toml:2: site: must be a name of 1 to 64 characters from a-z, 0-9, "
        "'-' and '_'\n"
        "d.toml:4: extra: unknown field\n"
        "d.toml:6: teams[0].share: must be a positive integer of at most "
        "1000000\n"
        "d.toml:9: teams[0].queues[0]: queue \"none\" is not declared");
}

// Guards against a second spare pool, which planning would ignore.
TEST_CASE("Only one pool is the spare") {
  const std::string pool =
      "[[pools]]\nname = \"p\"\nspare = true\nworkers = {}\ncores = 1\n"
      "memory_gb = 1\nslots = 1\nconnections = 1\n";
  std::string second = pool;
  second.replace(second.find("\"p\""), 3, "\"q\"");
  CHECK(ErrorOf("site = \"s\"\nregions = [\"r\"]\n" + pool + second) ==
        "d.toml:13: pools[1].spare: only one pool can be the spare");
}

// Guards against values too large for the store and against long parse times.
TEST_CASE("A text above 1 MB is refused") {
  const std::string filler(1'000'000 - kSampleText.size(), '\n');
  CHECK(ErrorOf(kSampleText + filler).empty());
  CHECK(ErrorOf(kSampleText + filler + "\n") ==
        "d.toml: is larger than 1 MB (1000001 bytes)");
}

// Guards against stack overflow in toml++ and in the conversion.
TEST_CASE("Deep nesting is refused or parsed without a crash") {
  std::string dotted = "a";
  for (int i = 0; i < 65; ++i) {
    dotted += ".a";
  }
  CHECK(ErrorOf(dotted + " = 1\n") ==
        "d.toml:1: has more than 64 dots on one line");
  std::string nested;
  for (int i = 0; i < 200; ++i) {
    nested += dotted.substr(0, 101) + " = [ {\n";
  }
  CHECK_FALSE(ErrorOf(nested).empty());
  CHECK_FALSE(ErrorOf("a = " + std::string(100'000, '[')).empty());
}

// Guards against toml++ assertions that invalid input triggers; the fuzz target
// found one that aborted the process.
TEST_CASE("A table header without a key is refused") {
  CHECK(ErrorOf("[)").starts_with("d.toml:1: "));
  CHECK(ErrorOf("[[ }").starts_with("d.toml:1: "));
}

// Guards against undefined behaviour in the whitespace lookup of toml++, found
// by the fuzz target.
TEST_CASE("A key with letters outside ASCII is refused") {
  CHECK(ErrorOf("sit\u00E9 = 1").starts_with("d.toml:1: "));
  CHECK(ErrorOf("sit\uFEEC = 1").starts_with("d.toml:1: "));
  CHECK(ErrorOf("# sit\u00E9\n" + kSampleText).empty());
}

// Guards against a syntax error without a line number.
TEST_CASE("A syntax error names its line") {
  const std::string error = ErrorOf(Edited("share = 4", "share = = 4"));
  CHECK(error.starts_with("d.toml:29: "));
}

}  // namespace
}  // namespace daisyroad
