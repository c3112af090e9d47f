#include <cstdlib>
#include <fstream>

#include "Core/Keys/key_hasher.h"
#include "Ctl/command_table.h"
#include "UnitTests/Ctl/fake_site.h"

namespace daisyroad {
namespace {

// Guards against a wrong command line that is carried out in part or reported
// with the code of a refusal.
TEST_CASE("Wrong usage ends with 2 and sends nothing") {
  const std::vector<std::vector<std::string>> wrong = {
      {},
      {"statuss"},
      {"pool"},
      {"pool", "move", "a"},
      {"status", "extra"},
      {"status", "--bogus"},
      {"status", "--team", "schools"},
      {"status", "-x"},
      {"status", "--timeout=soon"},
      {"status", "--timeout=0s"},
      {"apply", "file", "--base"},
      {"apply", "file", "--base=x"},
      {"rollback", "x"},
      {"key", "give"},
      {"key", "give", "--team=a", "--operator=b"},
      {"key", "list", "--key=a", "--key_file=b"},
      {"key", "list", "--key_file=/nonexistent/key"},
      {"explain"},
      {"explain", "--task=a", "--since=5"},
      {"plan", "--what-if=reservations"},
      {"plan", "--what-if=reservations:x"},
      {"task", "submit", "q", "p", "--wait=301"},
      {"help", "nonsense"},
  };
  FakeSite site;
  for (const std::vector<std::string>& arguments : wrong) {
    std::vector<std::string> all = arguments;
    all.push_back("--server=" + site.address());
    const CtlRun run = RunWith(all);
    INFO(Catch::Detail::stringify(arguments));
    CHECK(run.code == 2);
    CHECK_FALSE(run.err.empty());
  }
  CHECK(RunWith({"status", "--server="}).code == 2);
  CHECK(site.count() == 0);
}

// Guards against a subcommand without help or one that runs when asked for it.
TEST_CASE("Every subcommand has help") {
  FakeSite site;
  const std::string server = "--server=" + site.address();
  for (const Command& command : AllCommands()) {
    std::vector<std::string> words = command.name;
    words.push_back("--help");
    const CtlRun by_option = RunWith(words);
    words.pop_back();
    words.insert(words.begin(), "help");
    const CtlRun by_word = RunWith(words);
    CHECK(by_option.code == 0);
    CHECK(by_option.out == by_word.out);
    CHECK(by_option.out.find(command.summary) != std::string::npos);
    CHECK(by_option.out.find("Exit codes:") != std::string::npos);
    for (const std::string& option : command.options) {
      CHECK(by_option.out.find("--" + option) != std::string::npos);
    }
  }
  CHECK(RunWith({"help", server}).out == RunWith({"--help", server}).out);
  CHECK(site.count() == 0);
}

// Guards against options that stay set from one call of RunCtl to the next.
TEST_CASE("Options do not outlive the command line") {
  FakeSite site;
  site.Answer("GET /v1/ops/keys", "[]");
  CHECK(RunAgainst(site.address(), {"key", "list", "--json"}).out == "[]\n");
  CHECK(RunAgainst(site.address(), {"key", "list"}).out != "[]\n");
}

// Guards against a key that is taken from the wrong place or not sent.
TEST_CASE("The key comes from the option, the file or the environment") {
  FakeSite site;
  site.Answer("GET /v1/ops/keys", "[]");
  const std::string path = "ctl_test_key.txt";
  std::ofstream(path) << "from-file\n";
  ::setenv("DAISYROAD_KEY", "from-environment", 1);
  RunAgainst(site.address(), {"key", "list"});
  RunAgainst(site.address(), {"key", "list", "--key_file", path});
  RunAgainst(site.address(), {"key", "list", "--key", "from-option"});
  ::unsetenv("DAISYROAD_KEY");
  RunAgainst(site.address(), {"key", "list"});
  const std::vector<HttpRequest> calls = site.Received("GET /v1/ops/keys");
  REQUIRE(calls.size() == 4);
  CHECK(calls[0].Header("authorization") == "Bearer from-environment");
  CHECK(calls[1].Header("authorization") == "Bearer from-file");
  CHECK(calls[2].Header("authorization") == "Bearer from-option");
  CHECK(calls[3].Header("authorization").empty());
  std::remove(path.c_str());
}

// Guards against a bootstrap line that does not match its secret.
TEST_CASE("A generated key matches the line for the daemon") {
  const CtlRun run = RunWith({"key", "generate"});
  REQUIRE(run.code == 0);
  const std::size_t line = run.out.find('\n');
  const std::string secret = run.out.substr(0, line);
  const std::string record = run.out.substr(line + 1);
  const std::size_t first = record.find(':');
  const std::size_t second = record.find(':', first + 1);
  const KeyHash hash{record.substr(first + 1, second - first - 1),
                     record.substr(second + 1, record.size() - second - 2)};
  CHECK(KeyHasher::Matches(secret, hash));
  CHECK(secret.find(record.substr(0, first)) != std::string::npos);
}

}  // namespace
}  // namespace daisyroad
