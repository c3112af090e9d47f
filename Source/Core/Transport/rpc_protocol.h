#ifndef SOURCE_CORE_TRANSPORT_RPC_PROTOCOL_H_
#define SOURCE_CORE_TRANSPORT_RPC_PROTOCOL_H_

#include <json/value.h>

#include <functional>
#include <memory>
#include <string>

namespace daisyroad {

// Thrown by a method to return a JSON-RPC error.
struct RpcFailure {
  int code;
  std::string message;
};

// Server side of JSON-RPC 2.0: parses a request, calls the method and formats
// the response. This header must remain valid C++14, because rpc_protocol.cc is
// compiled as C++14.
class RpcProtocol {
 public:
  using Method = std::function<Json::Value(const Json::Value& params)>;

  RpcProtocol();
  ~RpcProtocol();

  // All methods take named parameters, which the method itself must validate.
  void AddMethod(const std::string& name, Method method);
  // Returns the text of the response, which may be a JSON-RPC error.
  std::string Handle(const std::string& request);

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_TRANSPORT_RPC_PROTOCOL_H_
