#include "Core/Transport/rpc_client.h"

#include <utility>

#include "Core/Common/json.h"
#include "Core/Transport/http_client.h"

namespace daisyroad {
namespace {

Result<Json::Value> ReadAnswer(const HttpResponse& response,
                               std::int64_t id,
                               const std::string& step,
                               const std::string& peer) {
  const Result<Json::Value> parsed = ParseJson(response.body);
  if (response.status != 200 || !parsed.ok() || !parsed.value().isObject() ||
      !parsed.value()["id"].isInt64() || parsed.value()["id"].asInt64() != id) {
    return Error{Errc::kProtocol, step, peer,
                 "answer is not the one to this request"};
  }
  const Json::Value& answer = parsed.value();
  if (answer.isMember("error")) {
    return Error{Errc::kInternal, step, peer,
                 answer["error"]["message"].asString()};
  }
  return answer["result"];
}

}  // namespace

RpcClient::RpcClient(HttpClient* http) : http(http) {}

void RpcClient::Call(const std::string& peer,
                     const std::string& method,
                     const Json::Value& params,
                     Milliseconds timeout,
                     Callback callback) {
  const std::int64_t id = this->next_id++;
  Json::Value envelope;
  envelope["jsonrpc"] = "2.0";
  envelope["id"] = Json::Int64(id);
  envelope["method"] = method;
  envelope["params"] = params;
  HttpClientRequest request;
  request.method = "POST";
  request.url = "http://" + peer + "/rpc";
  request.headers["Content-Type"] = "application/json";
  request.body = WriteJson(envelope);
  request.timeout = timeout;
  request.traffic = "peer";
  const std::string step = "rpc." + method;
  this->http->Send(std::move(request),
                   [callback = std::move(callback), id, step,
                    peer](const Result<HttpResponse>& response) {
                     if (!response.ok()) {
                       Error error = response.error();
                       error.step = step;
                       error.peer = peer;
                       callback(error);
                       return;
                     }
                     callback(ReadAnswer(response.value(), id, step, peer));
                   });
}

}  // namespace daisyroad
