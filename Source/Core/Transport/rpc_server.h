#ifndef SOURCE_CORE_TRANSPORT_RPC_SERVER_H_
#define SOURCE_CORE_TRANSPORT_RPC_SERVER_H_

#include <string>

#include "Core/Transport/http_message.h"
#include "Core/Transport/rpc_protocol.h"

namespace daisyroad {

// Serves JSON-RPC 2.0 over HTTP POST. Methods run synchronously on the calling
// thread.
class RpcServer {
 public:
  void AddMethod(const std::string& name, RpcProtocol::Method method);
  HttpResponse Handle(const HttpRequest& request);

 private:
  RpcProtocol protocol;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_TRANSPORT_RPC_SERVER_H_
