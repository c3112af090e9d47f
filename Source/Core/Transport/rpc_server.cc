#include "Core/Transport/rpc_server.h"

#include <utility>

namespace daisyroad {

void RpcServer::AddMethod(const std::string& name, RpcProtocol::Method method) {
  this->protocol.AddMethod(name, std::move(method));
}

HttpResponse RpcServer::Handle(const HttpRequest& request) {
  HttpResponse response;
  if (request.method != "POST") {
    response.status = 405;
    response.headers["allow"] = "POST";
    return response;
  }
  response.headers["content-type"] = "application/json";
  response.body = this->protocol.Handle(request.body);
  return response;
}

}  // namespace daisyroad
