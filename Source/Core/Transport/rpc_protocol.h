#ifndef SOURCE_CORE_TRANSPORT_RPC_PROTOCOL_H_
#define SOURCE_CORE_TRANSPORT_RPC_PROTOCOL_H_

#include <json/value.h>

#include <functional>
#include <memory>
#include <string>

namespace daisyroad {

// Raised by a method to answer with a JSON-RPC error.
struct RpcFailure {
  int code;
  std::string message;
};

// Server side of JSON-RPC 2.0: parses a request, calls the method and writes
// the answer. This header compiles as C++14, as its implementation must.
class RpcProtocol {
 public:
  using Method = std::function<Json::Value(const Json::Value& params)>;

  RpcProtocol();
  ~RpcProtocol();

  // All methods take named parameters; their checks are the method's duty.
  void AddMethod(const std::string& name, Method method);
  // Returns the text of the answer, a JSON-RPC error included.
  std::string Handle(const std::string& request);

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_TRANSPORT_RPC_PROTOCOL_H_
