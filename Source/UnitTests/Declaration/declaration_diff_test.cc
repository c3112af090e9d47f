#include <catch2/catch.hpp>

#include "Core/Common/json.h"
#include "Core/Declaration/diff_declarations.h"
#include "Core/Declaration/parse_declaration.h"
#include "UnitTests/Declaration/sample_text.h"

namespace daisyroad {
namespace {

std::vector<DeclarationChange> ChangesTo(const std::string& text) {
  const Result<Declaration> before = ParseDeclaration(kSampleText, "before");
  const Result<Declaration> after = ParseDeclaration(text, "after");
  REQUIRE(before.ok());
  REQUIRE(after.ok());
  return DiffDeclarations(before.value(), after.value());
}

struct Edit {
  const char* from;
  const char* to;
  const char* expected;
};

const Edit kEdits[] = {
    {"share = 4", "share = 6", "~ teams.schools.share: 4 -> 6\n"},
    {"upper_limit = 20", "upper_limit = 30",
     "~ teams.schools.upper_limit: 20 -> 30\n"},
    {"upper_limit = 20", "upper_limit = 10",
     "~ teams.schools.upper_limit: 20 -> 10 [risky: limit lowered from 20 to "
     "10]\n"},
    {"north = 4", "north = 3",
     "~ pools.rigging.workers: { \"north\" = 4 } -> { \"north\" = 3 } [risky: "
     "pool shrunk from 4 to 3]\n"},
    {"max_down = 2", "max_down = 1",
     "~ services.rigging.max_down: 2 -> 1 [risky: budget tightened from 2 to "
     "1]\n"},
    {"max_down = 2", "max_down_fraction = 0.5",
     "~ services.rigging.max_down_fraction: (absent) -> 0.5\n"
     "~ services.rigging.max_down: 2 -> (absent)\n"},
    {"site = \"izarra\"", "site = \"liitto\"",
     "~ site: \"izarra\" -> \"liitto\"\n"},
    {"interval = \"49d\"", "interval = \"48h\"",
     "~ maintenance.interval: \"49d\" -> \"2d\"\n"},
    {"name = \"schools\"", "name = \"fairs\"",
     "+ teams.fairs\n- teams.schools [risky: item removed]\n"},
    {"site = \"izarra\"", "# comment\nsite = 'izarra'", ""},
};

// Guards against changes that are not listed, or risky ones that are not
// marked.
TEST_CASE("A difference shows old and new value and its risk") {
  const Edit& edit = GENERATE(from_range(std::begin(kEdits), std::end(kEdits)));
  INFO(edit.from << " => " << edit.to);
  CHECK(DiffText(ChangesTo(Edited(edit.from, edit.to))) == edit.expected);
}

// Guards against an unmarked loss of workers in one zone while the total stays
// the same.
TEST_CASE("A pool that shrinks in one zone only is risky") {
  const std::string zone = "[[zones]]\nname = \"east\"\nregion = \"hills\"\n";
  std::string text = Edited("{ north = 4 }", "{ north = 3, east = 1 }");
  text.insert(text.find("[[zones]]"), zone);
  const std::vector<DeclarationChange> changes = ChangesTo(text);
  REQUIRE(changes.size() == 2);
  CHECK(changes[0].item == "zones.east");
  CHECK(changes[1].risk == "pool shrunk in zone north from 4 to 3");
}

// Guards against a summary or JSON output that differs from the text output.
TEST_CASE("Summary and JSON hold the same changes") {
  const std::vector<DeclarationChange> changes =
      ChangesTo(Edited("upper_limit = 20", "upper_limit = 10"));
  CHECK(DiffSummary(changes) ==
        "1 changes: 0 added, 0 removed, 1 changed; 1 risky\n" +
            DiffText(changes));
  CHECK(WriteJson(DiffJson(changes)) ==
        "[{\"field\":\"upper_limit\",\"item\":\"teams.schools\",\"kind\":"
        "\"changed\",\"new\":\"10\",\"old\":\"20\",\"risk\":\"limit lowered "
        "from 20 to 10\"}]");
}

}  // namespace
}  // namespace daisyroad
