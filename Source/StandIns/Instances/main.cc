// standin-instances: stand-in for the instance list of the platform, which lags
// behind the registrations. Implements the part of the Consul API that
// HttpInstanceListClient and standin-worker use.

#include <cstdint>
#include <string>

#include "Core/Common/json.h"
#include "Core/Common/logging.h"
#include "Core/Transport/event_loop.h"
#include "StandIns/Common/fault_settings.h"
#include "StandIns/Common/json_reply.h"
#include "StandIns/Common/run_stand_in.h"
#include "StandIns/Instances/instance_list_state.h"
#include "absl/flags/flag.h"
#include "absl/flags/parse.h"

ABSL_FLAG(std::uint16_t, port, 18001, "port on 127.0.0.1");
ABSL_FLAG(int, lag_ms, 1000, "lag of the served list in milliseconds");

namespace daisyroad {
namespace {

constexpr char kRegister[] = "/v1/agent/service/register";
constexpr char kDeregister[] = "/v1/agent/service/deregister/";

HttpResponse Serve(const HttpRequest& request, InstanceListState* state) {
  const MonotonicTime now = std::chrono::steady_clock::now();
  if (request.method == "PUT" && request.path == kRegister) {
    const Result<Json::Value> body = ParseJson(request.body);
    if (!body.ok() || !JsonString(body.value(), "ID").ok()) {
      return JsonReply(400, "malformed registration");
    }
    state->Register(body.value(), now);
    return JsonReply(200, Json::Value(Json::objectValue));
  }
  if (request.method == "PUT" && request.path.rfind(kDeregister, 0) == 0) {
    state->Deregister(request.path.substr(sizeof(kDeregister) - 1), now);
    return JsonReply(200, Json::Value(Json::objectValue));
  }
  if (request.method == "GET" && request.path == "/v1/health/service/worker") {
    return JsonReply(200, state->List(now));
  }
  return JsonReply(404, Json::Value(Json::objectValue));
}

int Main() {
  InitializeLogging(LogLevel::kWarning);
  EventLoop loop;
  FaultSettings faults;
  InstanceListState state(Milliseconds(absl::GetFlag(FLAGS_lag_ms)));
  return RunStandIn(absl::GetFlag(FLAGS_port), &loop,
                    [&faults, &state](const HttpRequest& request,
                                      const HttpResponder& respond) {
                      if (request.path == "/standin/faults") {
                        respond(SetFaults(request, &faults));
                      } else if (faults.Receives(request)) {
                        respond(Serve(request, &state));
                      }
                    });
}

}  // namespace
}  // namespace daisyroad

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  return daisyroad::Main();
}
