#ifndef SOURCE_LOAD_BLOCKING_HTTP_H_
#define SOURCE_LOAD_BLOCKING_HTTP_H_

#include <json/value.h>

#include <string>

#include "Core/Common/result.h"
#include "Core/Transport/http_client.h"

namespace daisyroad {

// HTTP calls that wait for their answer, for setting up a run and for reading
// records after it.
class BlockingHttp {
 public:
  BlockingHttp();

  Result<HttpResponse> Send(const HttpClientRequest& request);
  // Sends a JSON body (none if null) and reads a JSON answer. A status other
  // than 2xx is kProtocol with the status and body in the detail.
  Result<Json::Value> Call(const std::string& method,
                           const std::string& url,
                           const Json::Value& body,
                           const std::string& bearer);

 private:
  HttpClient http;
};

}  // namespace daisyroad

#endif  // SOURCE_LOAD_BLOCKING_HTTP_H_
