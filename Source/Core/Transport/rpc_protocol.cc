#include "Core/Transport/rpc_protocol.h"

#include <jsonrpccpp/common/errors.h>
#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/iclientconnectionhandler.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

#include <map>
#include <utility>

namespace daisyroad {

class RpcProtocol::Impl : public jsonrpc::IProcedureInvokationHandler {
 public:
  Impl()
      : protocol(jsonrpc::RequestHandlerFactory::createProtocolHandler(
            jsonrpc::JSONRPC_SERVER_V2,
            *this)) {}

  void HandleMethodCall(jsonrpc::Procedure& procedure,
                        const Json::Value& input,
                        Json::Value& output) override {
    try {
      output = this->methods.at(procedure.GetProcedureName())(input);
    } catch (const RpcFailure& failure) {
      throw jsonrpc::JsonRpcException(failure.code, failure.message);
    }
  }

  void HandleNotificationCall(jsonrpc::Procedure& procedure,
                              const Json::Value& input) override {
    this->methods.at(procedure.GetProcedureName())(input);
  }

  std::map<std::string, Method> methods;
  std::unique_ptr<jsonrpc::IProtocolHandler> protocol;
};

RpcProtocol::RpcProtocol() : impl(new Impl()) {}
RpcProtocol::~RpcProtocol() = default;

void RpcProtocol::AddMethod(const std::string& name, Method method) {
  this->impl->methods[name] = std::move(method);
  this->impl->protocol->AddProcedure(jsonrpc::Procedure(
      name, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, NULL));
}

std::string RpcProtocol::Handle(const std::string& request) {
  std::string response;
  this->impl->protocol->HandleRequest(request, response);
  return response;
}

}  // namespace daisyroad
