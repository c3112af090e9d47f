#ifndef SOURCE_UNITTESTS_CTL_FAKE_SITE_H_
#define SOURCE_UNITTESTS_CTL_FAKE_SITE_H_

#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <mutex>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "Core/Common/json.h"
#include "Core/Transport/http_server.h"
#include "Ctl/run_ctl.h"

namespace daisyroad {

// An entry instance with canned answers, by method and path.
class FakeSite {
 public:
  FakeSite() {
    REQUIRE(this->server
                .Start(HttpServerOptions(),
                       [this](const HttpRequest& request,
                              const HttpResponder& respond) {
                         this->Handle(request, respond);
                       })
                .ok());
  }
  ~FakeSite() { this->server.Stop(); }

  // `call` is for example "GET /v1/ops/status". The last of several answers to
  // one call is repeated.
  void Answer(const std::string& call,
              const std::string& body,
              int status = 200) {
    this->answers[call].push_back({status, body});
  }
  // Takes the call and never answers.
  void LoseAnswer(const std::string& call) { this->Answer(call, "", 0); }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(this->server.port());
  }
  std::vector<HttpRequest> Received(const std::string& call) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->received[call];
  }
  std::size_t count() {
    const std::lock_guard<std::mutex> lock(this->mutex);
    std::size_t total = 0;
    for (const std::pair<const std::string, std::vector<HttpRequest>>& entry :
         this->received) {
      total += entry.second.size();
    }
    return total;
  }

 private:
  struct Canned {
    int status;  // 0: no answer
    std::string body;
  };

  void Handle(const HttpRequest& request, const HttpResponder& respond) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    const std::string call = request.method + " " + request.path;
    std::vector<HttpRequest>& seen = this->received[call];
    seen.push_back(request);
    const std::vector<Canned>& list = this->answers[call];
    Canned canned{404, R"({"title": "not found"})"};
    if (!list.empty()) {
      canned = list[std::min(seen.size(), list.size()) - 1];
    }
    if (canned.status == 0) {
      this->unanswered.push_back(respond);
      return;
    }
    HttpResponse response;
    response.status = canned.status;
    response.body = canned.body;
    respond(response);
  }

  std::mutex mutex;
  std::map<std::string, std::vector<Canned>> answers;
  std::map<std::string, std::vector<HttpRequest>> received;
  HttpServer server;
  // After the server, because responders must not outlive it.
  std::vector<HttpResponder> unanswered;
};

struct CtlRun {
  int code = -1;
  std::string out;
  std::string err;
};

inline CtlRun RunWith(const std::vector<std::string>& arguments) {
  std::ostringstream out;
  std::ostringstream err;
  CtlRun run;
  run.code = RunCtl(arguments, out, err);
  run.out = out.str();
  run.err = err.str();
  return run;
}

// Runs with `servers` and a time limit that is short enough for lost answers.
inline CtlRun RunAgainst(const std::string& servers,
                         std::vector<std::string> arguments) {
  arguments.push_back("--server=" + servers);
  arguments.push_back("--timeout=400ms");
  return RunWith(arguments);
}

}  // namespace daisyroad

#endif  // SOURCE_UNITTESTS_CTL_FAKE_SITE_H_
