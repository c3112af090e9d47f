#include "StandIns/Common/json_reply.h"

#include "Core/Common/json.h"
#include "StandIns/Common/fault_settings.h"

namespace daisyroad {

HttpResponse JsonReply(int status, const Json::Value& body) {
  HttpResponse response;
  response.status = status;
  response.headers["content-type"] = "application/json";
  response.body = WriteJson(body);
  return response;
}

HttpResponse SetFaults(const HttpRequest& request, FaultSettings* faults) {
  const Result<Json::Value> body = ParseJson(request.body);
  const Status updated =
      body.ok() ? faults->Update(body.value()) : Status(body.error());
  if (!updated.ok()) {
    Json::Value reply;
    reply["error"] = updated.error().ToString();
    return JsonReply(400, reply);
  }
  HttpResponse response;
  response.status = 204;
  return response;
}

}  // namespace daisyroad
