#include <unistd.h>

#include <cstdio>
#include <filesystem>
#include <fstream>

#include "UnitTests/Ctl/fake_site.h"

namespace daisyroad {
namespace {

constexpr char kApply[] = "POST /v1/ops/declaration";
constexpr char kValidate[] = "POST /v1/ops/declaration/validate";
constexpr char kDeclaration[] = "GET /v1/ops/declaration";
constexpr char kChanged[] =
    R"({"version":8,"accepted":true,"in_force":["north"],"pending":[]})";
constexpr char kUnknown[] = R"({"title":"not known","outcome":"unknown"})";
constexpr char kConflict[] = R"({"title":"conflict","version":8})";

std::string DeclarationText(const std::string& zone) {
  return "site = \"s\"\nregions = [\"r\"]\n[[zones]]\nname = \"" + zone +
         "\"\nregion = \"r\"\n";
}

std::string DeclarationAnswer(int version, const std::string& text) {
  Json::Value body;
  body["version"] = version;
  body["text"] = text;
  return WriteJson(body);
}

// A file with the declaration of the operator.
class DeclarationFile {
 public:
  DeclarationFile() { std::ofstream(this->path) << DeclarationText("north"); }
  ~DeclarationFile() { std::remove(this->path.c_str()); }

  const std::string path =
      (std::filesystem::temp_directory_path() /
       ("daisyroad_ctl_test_" + std::to_string(::getpid()) + ".toml"))
          .string();
};

// Guards against a change that is based on another version than the one whose
// difference the operator saw.
TEST_CASE("Apply is based on the version of its difference") {
  const DeclarationFile file;
  FakeSite site;
  site.Answer(kValidate,
              R"({"valid":true,"base_version":7,"text":"+ zone north\n"})");
  site.Answer(kApply, kChanged);
  const CtlRun run = RunAgainst(site.address(), {"apply", file.path});
  CHECK(run.code == 0);
  CHECK(run.out ==
        "against version 7\n+ zone north\n"
        "version 8 accepted; in force in: north\n");
  const Json::Value body = ParseJson(site.Received(kApply).at(0).body).value();
  CHECK(body["base_version"].asInt() == 7);
  CHECK(body["text"].asString() == DeclarationText("north"));
  RunAgainst(site.address(), {"apply", file.path, "--base", "5"});
  CHECK(ParseJson(site.Received(kApply).at(1).body)
            .value()["base_version"]
            .asInt() == 5);
}

// Guards against a faulty declaration that is sent all the same.
TEST_CASE("A declaration that is not valid is not applied") {
  const DeclarationFile file;
  FakeSite site;
  site.Answer(kValidate, R"({"valid":false,"errors":["f:1: site: bad"]})");
  for (const char* command : {"validate", "diff", "apply"}) {
    const CtlRun run = RunAgainst(site.address(), {command, file.path});
    CHECK(run.code == 1);
    CHECK(run.err.find("f:1: site: bad\n") != std::string::npos);
  }
  CHECK(site.Received(kApply).empty());
  CHECK(RunAgainst(site.address(), {"apply", "nonexistent.toml"}).code == 1);
}

// Guards against an operator who cannot see what won.
TEST_CASE("A lost race prints the difference to the winning version") {
  const DeclarationFile file;
  FakeSite site;
  site.Answer(kApply, kConflict, 409);
  site.Answer(kDeclaration, DeclarationAnswer(8, DeclarationText("east")));
  site.Answer(kDeclaration, DeclarationAnswer(7, DeclarationText("west")));
  const CtlRun run =
      RunAgainst(site.address(), {"apply", file.path, "--base", "7"});
  CHECK(run.code == 3);
  CHECK(run.err.find("difference from version 8 to yours:\n") !=
        std::string::npos);
  CHECK(run.err.find("north") != std::string::npos);
  CHECK(run.err.find("east") != std::string::npos);
  CHECK(site.Received(kDeclaration).at(0).Query("version") == "8");
  CHECK(site.Received(kApply).size() == 1);
}

// Guards against a scare when the winning change was no declaration.
TEST_CASE("A lost race against another kind of change is told apart") {
  const DeclarationFile file;
  FakeSite site;
  site.Answer(kApply, kConflict, 409);
  site.Answer(kDeclaration, DeclarationAnswer(8, DeclarationText("east")));
  const CtlRun run =
      RunAgainst(site.address(), {"apply", file.path, "--base", "7"});
  CHECK(run.code == 3);
  CHECK(run.err.find("yours can be applied again") != std::string::npos);
}

// Guards against a declaration that is sent twice or whose outcome is guessed.
TEST_CASE("A lost answer to a declaration is read back") {
  const DeclarationFile file;
  FakeSite site;
  if (GENERATE(true, false)) {
    site.LoseAnswer(kApply);
  } else {
    site.Answer(kApply, kUnknown, 503);
  }
  const std::vector<std::string> apply = {"apply", file.path, "--base=7"};
  SECTION("written") {
    site.Answer(kDeclaration, "{}", 404);
    site.Answer(kDeclaration, DeclarationAnswer(8, DeclarationText("north")));
    const CtlRun run = RunAgainst(site.address(), apply);
    CHECK(run.code == 0);
    CHECK(run.out == "version 8 accepted\n");
    CHECK(site.Received(kDeclaration).at(0).Query("version") == "8");
  }
  SECTION("another change won") {
    site.Answer(kDeclaration, DeclarationAnswer(8, DeclarationText("east")));
    CHECK(RunAgainst(site.address(), apply).code == 3);
  }
  SECTION("no trace") {
    CHECK(RunAgainst(site.address(), apply).code == 4);
    CHECK(site.Received(kDeclaration).size() > 1);
  }
  CHECK(site.Received(kApply).size() == 1);
}

// Guards against a rollback to a text that the operator did not choose.
TEST_CASE("A lost answer to a rollback is read back") {
  FakeSite site;
  site.Answer(kDeclaration, DeclarationAnswer(3, DeclarationText("north")));
  site.LoseAnswer("POST /v1/ops/rollback");
  CHECK(RunAgainst(site.address(), {"rollback", "3", "--base=7"}).code == 0);
  CHECK(site.Received(kDeclaration).at(0).Query("version") == "3");
  CHECK(site.Received(kDeclaration).at(1).Query("version") == "8");
  CHECK(site.Received("POST /v1/ops/rollback").size() == 1);
}

// Guards against a zone, key or pause that is set twice or taken for set.
TEST_CASE("A lost answer to another change is read back") {
  struct Lost {
    std::vector<std::string> arguments;
    std::string write;
    std::string read;
    std::string with_effect;
    std::string without_effect;
  };
  const std::vector<Lost> cases = {
      {{"zone", "out", "north"},
       "POST /v1/ops/zones/north/out",
       "GET /v1/ops/status",
       R"({"version":8,"zones":[{"name":"north","out":true}]})",
       R"({"version":7,"zones":[{"name":"north","out":false}]})"},
      {{"zone", "in", "north"},
       "POST /v1/ops/zones/north/in",
       "GET /v1/ops/status",
       R"({"version":8,"zones":[{"name":"north","out":false}]})",
       R"({"version":7,"zones":[{"name":"east","out":false}]})"},
      {{"key", "withdraw", "k"},
       "DELETE /v1/ops/keys/k",
       "GET /v1/ops/keys",
       R"([{"id":"k","withdrawn":true}])",
       R"([{"id":"k","withdrawn":false},{"id":"l","withdrawn":true}])"},
      {{"maintenance", "pause"},
       "POST /v1/ops/maintenance/pause",
       "GET /v1/ops/maintenance",
       R"({"paused":true})",
       R"({"paused":false})"},
      {{"drain", "i"},
       "POST /v1/ops/instances/i/drain",
       "GET /v1/ops/pools",
       R"([{"pool":"p","instances":[{"name":"i","state":"leaving"}]}])",
       R"([{"pool":"p","instances":[{"name":"i","state":"live"}]}])"},
      {{"pool", "move", "i", "q"},
       "POST /v1/ops/moves",
       "GET /v1/ops/pools",
       R"([{"pool":"q","instances":[{"name":"i","state":"live"}]}])",
       R"([{"pool":"p","instances":[{"name":"i","step":"draining"}]}])"},
  };
  for (const Lost& lost : cases) {
    INFO(lost.write);
    FakeSite site;
    site.LoseAnswer(lost.write);
    site.Answer(lost.read, lost.without_effect);
    site.Answer(lost.read, lost.with_effect);
    CHECK(RunAgainst(site.address(), lost.arguments).code == 0);
    CHECK(site.Received(lost.write).size() == 1);
    FakeSite unchanged;
    unchanged.LoseAnswer(lost.write);
    unchanged.Answer(lost.read, lost.without_effect);
    CHECK(RunAgainst(unchanged.address(), lost.arguments).code == 4);
    CHECK(unchanged.Received(lost.write).size() == 1);
  }
}

// Guards against a key whose secret nobody has and that stays in force unseen.
TEST_CASE("A key that was given with a lost answer is named") {
  FakeSite site;
  site.Answer("GET /v1/ops/keys", R"([{"id":"old","holder":"schools"}])");
  site.Answer("GET /v1/ops/keys", R"([{"id":"old","holder":"schools"},)"
                                  R"({"id":"new","holder":"schools"}])");
  site.LoseAnswer("POST /v1/ops/keys");
  const CtlRun run =
      RunAgainst(site.address(), {"key", "give", "--team", "schools"});
  CHECK(run.code == 4);
  CHECK(run.err.find("given to schools meanwhile: new;") != std::string::npos);
  CHECK(site.Received("POST /v1/ops/keys").size() == 1);
}

// Guards against a write that two servers carry out.
TEST_CASE("Another server is tried only if the request was not received") {
  const std::string write = "POST /v1/ops/zones/north/out";
  FakeSite good;
  good.Answer(write, kChanged);
  good.Answer("GET /v1/ops/status",
              R"({"zones":[{"name":"north","out":true}]})");
  CHECK(RunAgainst("127.0.0.1:1," + good.address(), {"zone", "out", "north"})
            .code == 0);
  CHECK(good.Received(write).size() == 1);
  FakeSite silent;
  silent.LoseAnswer(write);
  CHECK(RunAgainst(silent.address() + "," + good.address(),
                   {"zone", "out", "north"})
            .code == 0);
  CHECK(silent.Received(write).size() == 1);
  CHECK(good.Received(write).size() == 1);
  CHECK(good.Received("GET /v1/ops/status").size() == 1);
  FakeSite refusing;
  refusing.Answer(write, R"({"title":"isolated"})", 503);
  CHECK(RunAgainst(refusing.address() + "," + good.address(),
                   {"zone", "out", "north"})
            .code == 1);
  CHECK(good.Received(write).size() == 1);
}

}  // namespace
}  // namespace daisyroad
