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

// Asynchronous client for the JSON-RPC 2.0 methods of other entry instances.
class RpcClient {
 public:
  using Callback = std::function<void(Result<Json::Value>)>;

  // `http` must outlive this object.
  explicit RpcClient(HttpClient* http);

  // Errors: those of HttpClient; kProtocol if the response is not JSON-RPC or
  // has another id; kInternal if the method returned an error.
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
