#include <cstdlib>
#include <fstream>

#include "Core/Keys/key_hasher.h"
#include "Ctl/command_table.h"
#include "UnitTests/Ctl/fake_entry_instance.h"

namespace daisyroad {
namespace {

// Guards against an invalid command line that is executed in part, or that ends
// with the exit code of a request that the server refused.
TEST_CASE("Usage errors exit with code 2 and send no request") {
  const std::vector<std::vector<std::string>> invalid_command_lines = {
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
  FakeEntryInstance instance;
  for (const std::vector<std::string>& arguments : invalid_command_lines) {
    std::vector<std::string> all_arguments = arguments;
    all_arguments.push_back("--server=" + instance.address());
    const CtlRun run = RunWith(all_arguments);
    INFO(Catch::Detail::stringify(arguments));
    CHECK(run.code == 2);
    CHECK_FALSE(run.err.empty());
  }
  CHECK(RunWith({"status", "--server="}).code == 2);
  CHECK(instance.request_count() == 0);
}

// Guards against a subcommand that has no help, or that runs when its help is
// requested.
TEST_CASE("Every subcommand has help") {
  FakeEntryInstance instance;
  const std::string server = "--server=" + instance.address();
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
  CHECK(instance.request_count() == 0);
}

// Guards against options that keep their values from one call of RunCtl() to
// the next.
TEST_CASE("Options do not persist across calls of RunCtl") {
  FakeEntryInstance instance;
  instance.AddResponse("GET /v1/ops/keys", "[]");
  CHECK(RunAgainst(instance.address(), {"key", "list", "--json"}).out ==
        "[]\n");
  CHECK(RunAgainst(instance.address(), {"key", "list"}).out != "[]\n");
}

// Guards against a key that is read from the wrong source or not sent.
TEST_CASE("The key comes from the option, the file or the environment") {
  FakeEntryInstance instance;
  instance.AddResponse("GET /v1/ops/keys", "[]");
  const std::string path = "ctl_test_key.txt";
  std::ofstream(path) << "from-file\n";
  ::setenv("DAISYROAD_KEY", "from-environment", 1);
  RunAgainst(instance.address(), {"key", "list"});
  RunAgainst(instance.address(), {"key", "list", "--key_file", path});
  RunAgainst(instance.address(), {"key", "list", "--key", "from-option"});
  ::unsetenv("DAISYROAD_KEY");
  RunAgainst(instance.address(), {"key", "list"});
  const std::vector<HttpRequest> calls = instance.Received("GET /v1/ops/keys");
  REQUIRE(calls.size() == 4);
  CHECK(calls[0].Header("authorization") == "Bearer from-environment");
  CHECK(calls[1].Header("authorization") == "Bearer from-file");
  CHECK(calls[2].Header("authorization") == "Bearer from-option");
  CHECK(calls[3].Header("authorization").empty());
  std::remove(path.c_str());
}

// Guards against a bootstrap record that does not match its secret.
TEST_CASE("A generated key matches its bootstrap record") {
  const CtlRun run = RunWith({"key", "generate"});
  REQUIRE(run.code == 0);
  const std::size_t line_end = run.out.find('\n');
  const std::string secret = run.out.substr(0, line_end);
  const std::string record = run.out.substr(line_end + 1);
  const std::size_t first_colon = record.find(':');
  const std::size_t second_colon = record.find(':', first_colon + 1);
  const KeyHash hash{
      record.substr(first_colon + 1, second_colon - first_colon - 1),
      record.substr(second_colon + 1, record.size() - second_colon - 2)};
  CHECK(KeyHasher::Matches(secret, hash));
  CHECK(secret.find(record.substr(0, first_colon)) != std::string::npos);
}

}  // namespace
}  // namespace daisyroad
