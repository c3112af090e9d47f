#include "Ctl/text_table.h"
#include "UnitTests/Ctl/fake_entry_instance.h"

namespace daisyroad {
namespace {

// Guards against columns that are misaligned by empty cells, non-ASCII text or
// terminal escape sequences.
TEST_CASE("Table columns are aligned") {
  TextTable table({"NAME", "ZONE"});
  table.AddRow({"käyttö", "north"});
  table.AddRow({"", "a\x1b[2Jb"});
  table.AddRow({"long-name"});
  CHECK(table.ToString() ==
        "NAME       ZONE\n"
        "käyttö     north\n"
        "-          a [2Jb\n"
        "long-name  -\n");
}

// Guards against status output that omits members of the response.
TEST_CASE("Status is printed as tables, and as JSON on request") {
  FakeEntryInstance instance;
  const std::string body =
      R"({"version":7,"site":"izarra","instances":[{"name":"entry-1","zone":)"
      R"("north","version":7,"alive":true,"authority":"confirmed"}],"zones":[)"
      R"({"name":"north","out":true}],"pools":[],"teams":[]})";
  instance.AddResponse("GET /v1/ops/status", body);
  const CtlRun text = RunAgainst(instance.address(), {"status"});
  CHECK(text.code == 0);
  CHECK(text.out.find("site izarra, version 7\n") != std::string::npos);
  CHECK(text.out.find("entry-1  north  7        yes    confirmed  -") !=
        std::string::npos);
  CHECK(text.out.find("north  yes  -            -\n") != std::string::npos);
  const CtlRun json = RunAgainst(instance.address(), {"status", "--json"});
  CHECK(ParseJson(json.out.substr(0, json.out.size() - 1)).value() ==
        ParseJson(body).value());
}

// Guards against responses that scripts cannot distinguish by the exit code.
TEST_CASE("Each kind of response has its exit code") {
  struct Expected {
    int status;
    const char* body;
    int code;
  };
  const std::vector<Expected> cases = {
      {200, R"({"id":"t","state":"done"})", 0},
      {202, R"({"id":"t","state":"queued"})", 0},
      {400, R"({"title":"invalid","outcome":"not_run"})", 1},
      {401, R"({"title":"unauthorized","outcome":"not_run"})", 1},
      {403, R"({"title":"forbidden","outcome":"not_run"})", 1},
      {429, R"({"title":"queue full","outcome":"not_run"})", 1},
      {500, R"({"title":"failed","outcome":"ran"})", 1},
      {503, R"({"title":"no worker","outcome":"not_run"})", 1},
      {500, "<html>", 1},
      {409, R"({"title":"conflict","outcome":"not_run"})", 3},
      {503, R"({"title":"not known","outcome":"unknown"})", 4},
      {200, "<html>", 4},
  };
  for (const Expected& expected : cases) {
    FakeEntryInstance instance;
    instance.AddResponse("POST /v1/tasks", expected.body, expected.status);
    const CtlRun run =
        RunAgainst(instance.address(), {"task", "submit", "q", "p"});
    INFO(expected.status << " " << expected.body);
    CHECK(run.code == expected.code);
    CHECK(run.err.empty() == (expected.code == 0));
    CHECK(instance.request_count() == 1);
  }
  FakeEntryInstance instance;
  instance.AddLostResponse("POST /v1/tasks");
  instance.AddLostResponse("GET /v1/ops/status");
  CHECK(RunAgainst(instance.address(), {"task", "submit", "q", "p"}).code == 4);
  CHECK(RunAgainst(instance.address(), {"status"}).code == 5);
  CHECK(RunAgainst("127.0.0.1:1", {"task", "submit", "q", "p"}).code == 5);
}

// Guards against an idempotency key, wait time or payload that is not sent.
TEST_CASE("A task is submitted with its key, wait time and payload") {
  FakeEntryInstance instance;
  instance.AddResponse("POST /v1/tasks",
                       R"({"id":"t","state":"done","answer":"a"})");
  const CtlRun run = RunAgainst(
      instance.address(), {"task", "submit", "bookings", "{\"a\":\"b c\"}",
                           "--wait", "2", "--idempotency_key", "north/1"});
  CHECK(run.code == 0);
  CHECK(run.out == "answer: a\nid:     t\nstate:  done\n");
  const std::vector<HttpRequest> calls = instance.Received("POST /v1/tasks");
  REQUIRE(calls.size() == 1);
  CHECK(calls[0].Header("prefer") == "wait=2");
  CHECK(calls[0].Header("idempotency-key") == "north/1");
  CHECK(ParseJson(calls[0].body).value()["payload"].asString() ==
        "{\"a\":\"b c\"}");
}

// Guards against requests that docs/api.md does not define.
TEST_CASE("Subcommands send the requests of docs/api.md") {
  const std::vector<std::pair<std::vector<std::string>, std::string>> cases = {
      {{"history"}, "GET /v1/ops/history"},
      {{"key", "list"}, "GET /v1/ops/keys"},
      {{"key", "withdraw", "k"}, "DELETE /v1/ops/keys/k"},
      {{"zone", "out", "north"}, "POST /v1/ops/zones/north/out"},
      {{"zone", "in", "north"}, "POST /v1/ops/zones/north/in"},
      {{"pool", "list"}, "GET /v1/ops/pools"},
      {{"pool", "move", "i", "p"}, "POST /v1/ops/moves"},
      {{"drain", "i"}, "POST /v1/ops/instances/i/drain"},
      {{"maintenance", "plan"}, "GET /v1/ops/maintenance"},
      {{"maintenance", "status"}, "GET /v1/ops/maintenance"},
      {{"maintenance", "pause"}, "POST /v1/ops/maintenance/pause"},
      {{"maintenance", "resume"}, "POST /v1/ops/maintenance/resume"},
      {{"plan", "--what-if", "reservations:9"}, "GET /v1/ops/plan"},
      {{"task", "show", "t"}, "GET /v1/ops/tasks/t"},
      {{"task", "cancel", "t"}, "DELETE /v1/tasks/t"},
      {{"explain", "--since", "60"}, "GET /v1/ops/explain"},
  };
  for (const std::pair<std::vector<std::string>, std::string>& item : cases) {
    FakeEntryInstance instance;
    instance.AddResponse(item.second, "{}");
    INFO(item.second);
    CHECK(RunAgainst(instance.address(), item.first).code == 0);
    CHECK(instance.request_count() == 1);
  }
}

// Guards against a tail that repeats lines or exceeds --lines.
TEST_CASE("Tail continues after the last line") {
  FakeEntryInstance instance;
  instance.AddResponse("GET /v1/ops/tail", R"({"next":2,"lines":["a","b"]})");
  instance.AddResponse("GET /v1/ops/tail", R"({"next":4,"lines":["c","d"]})");
  const CtlRun run = RunAgainst(instance.address(), {"tail", "--lines=3"});
  CHECK(run.code == 0);
  CHECK(run.out == "a\nb\nc\n");
  const std::vector<HttpRequest> calls = instance.Received("GET /v1/ops/tail");
  REQUIRE(calls.size() == 2);
  CHECK(calls[1].Query("after") == "2");
}

// Guards against a team's key that cannot read a task of its own team.
TEST_CASE("A task is shown to its team") {
  FakeEntryInstance instance;
  instance.AddResponse("GET /v1/ops/tasks/t", R"({"status":403})", 403);
  instance.AddResponse("GET /v1/tasks/t", R"({"id":"t","state":"running"})");
  CHECK(RunAgainst(instance.address(), {"task", "show", "t"}).out ==
        "id:    t\nstate: running\n");
}

}  // namespace
}  // namespace daisyroad
