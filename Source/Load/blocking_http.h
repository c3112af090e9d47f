#ifndef SOURCE_LOAD_BLOCKING_HTTP_H_
#define SOURCE_LOAD_BLOCKING_HTTP_H_

#include <json/value.h>

#include <string>

#include "Core/Common/result.h"
#include "Core/Transport/http_client.h"

namespace daisyroad {

// Synchronous HTTP client that sets up a run and reads the records after it.
class BlockingHttp {
 public:
  BlockingHttp();

  Result<HttpResponse> Send(const HttpClientRequest& request);
  // Sends `body` as JSON, or no body if it is null, and parses the JSON
  // response. A status other than 2xx is returned as kProtocol with the status
  // and body in the detail.
  Result<Json::Value> Call(const std::string& method,
                           const std::string& url,
                           const Json::Value& body,
                           const std::string& bearer);

 private:
  HttpClient http;
};

}  // namespace daisyroad

#endif  // SOURCE_LOAD_BLOCKING_HTTP_H_
