#include "Core/Transport/rpc_client.h"

#include <utility>

#include "Core/Common/json.h"
#include "Core/Transport/http_client.h"

namespace daisyroad {
namespace {

Result<Json::Value> ReadRpcResponse(const HttpResponse& response,
                                    std::int64_t id,
                                    const std::string& step,
                                    const std::string& peer) {
  const Result<Json::Value> parsed = ParseJson(response.body);
  if (response.status != 200 || !parsed.ok() || !parsed.value().isObject() ||
      !parsed.value()["id"].isInt64() || parsed.value()["id"].asInt64() != id) {
    return Error{Errc::kProtocol, step, peer,
                 "not a JSON-RPC response to this request"};
  }
  const Json::Value& parsed_response = parsed.value();
  if (parsed_response.isMember("error")) {
    return Error{Errc::kInternal, step, peer,
                 parsed_response["error"]["message"].asString()};
  }
  return parsed_response["result"];
}

}  // namespace

RpcClient::RpcClient(HttpClient* http) : http(http) {}

void RpcClient::Call(const std::string& peer,
                     const std::string& method,
                     const Json::Value& params,
                     Milliseconds timeout,
                     Callback callback) {
  const std::int64_t id = this->next_id++;
  Json::Value rpc_request;
  rpc_request["jsonrpc"] = "2.0";
  rpc_request["id"] = Json::Int64(id);
  rpc_request["method"] = method;
  rpc_request["params"] = params;
  HttpClientRequest request;
  request.method = "POST";
  request.url = "http://" + peer + "/rpc";
  request.headers["Content-Type"] = "application/json";
  request.body = WriteJson(rpc_request);
  request.timeout = timeout;
  request.traffic = "peer";
  const std::string step = "rpc." + method;
  this->http->Send(
      std::move(request), [callback = std::move(callback), id, step,
                           peer](const Result<HttpResponse>& response) {
        if (!response.ok()) {
          Error error = response.error();
          error.step = step;
          error.peer = peer;
          callback(error);
          return;
        }
        callback(ReadRpcResponse(response.value(), id, step, peer));
      });
}

}  // namespace daisyroad
