#ifndef SOURCE_CORE_TRANSPORT_RPC_CLIENT_H_
#define SOURCE_CORE_TRANSPORT_RPC_CLIENT_H_

#include <json/value.h>

#include <cstdint>
#include <functional>
#include <string>

#include "Core/Common/result.h"
#include "Core/Common/time.h"

namespace daisyroad {

class HttpClient;

// Calls JSON-RPC 2.0 methods of other entry instances without blocking.
class RpcClient {
 public:
  using Callback = std::function<void(Result<Json::Value>)>;

  // `http` must outlive this object.
  explicit RpcClient(HttpClient* http);

  // Errors: those of HttpClient; kProtocol for an answer that is not JSON-RPC
  // or carries another identifier; kInternal for an error of the method.
  void Call(const std::string& peer,
            const std::string& method,
            const Json::Value& params,
            Milliseconds timeout,
            Callback callback);

 private:
  HttpClient* http;
  std::int64_t next_id = 1;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_TRANSPORT_RPC_CLIENT_H_
