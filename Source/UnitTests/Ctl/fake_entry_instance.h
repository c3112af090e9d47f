#ifndef SOURCE_UNITTESTS_CTL_FAKE_ENTRY_INSTANCE_H_
#define SOURCE_UNITTESTS_CTL_FAKE_ENTRY_INSTANCE_H_

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

// An HTTP server that stands in for an entry instance and sends canned
// responses by method and path.
class FakeEntryInstance {
 public:
  FakeEntryInstance() {
    REQUIRE(this->server
                .Start(HttpServerOptions(),
                       [this](const HttpRequest& request,
                              const HttpResponder& respond) {
                         this->Handle(request, respond);
                       })
                .ok());
  }
  ~FakeEntryInstance() { this->server.Stop(); }

  // Adds a response to `call`, for example "GET /v1/ops/status". Several
  // responses to one call are sent in order; the last one is repeated.
  void AddResponse(const std::string& call,
                   const std::string& body,
                   int status = 200) {
    this->responses[call].push_back({status, body});
  }
  // Accepts `call` and never responds to it.
  void AddLostResponse(const std::string& call) {
    this->AddResponse(call, "", 0);
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(this->server.port());
  }
  std::vector<HttpRequest> Received(const std::string& call) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->received[call];
  }
  std::size_t request_count() {
    const std::lock_guard<std::mutex> lock(this->mutex);
    std::size_t total = 0;
    for (const std::pair<const std::string, std::vector<HttpRequest>>& entry :
         this->received) {
      total += entry.second.size();
    }
    return total;
  }

 private:
  struct CannedResponse {
    int status;  // 0: no response
    std::string body;
  };

  void Handle(const HttpRequest& request, const HttpResponder& respond) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    const std::string call = request.method + " " + request.path;
    std::vector<HttpRequest>& call_requests = this->received[call];
    call_requests.push_back(request);
    const std::vector<CannedResponse>& list = this->responses[call];
    CannedResponse canned{404, R"({"title": "not found"})"};
    if (!list.empty()) {
      canned = list[std::min(call_requests.size(), list.size()) - 1];
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
  std::map<std::string, std::vector<CannedResponse>> responses;
  std::map<std::string, std::vector<HttpRequest>> received;
  HttpServer server;
  // Declared after the server, because responders must not outlive it.
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

// Runs daisyroadctl with `servers` and a time limit that keeps tests of lost
// responses short.
inline CtlRun RunAgainst(const std::string& servers,
                         std::vector<std::string> arguments) {
  arguments.push_back("--server=" + servers);
  arguments.push_back("--timeout=400ms");
  return RunWith(arguments);
}

}  // namespace daisyroad

#endif  // SOURCE_UNITTESTS_CTL_FAKE_ENTRY_INSTANCE_H_
