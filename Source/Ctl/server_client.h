#ifndef SOURCE_CTL_SERVER_CLIENT_H_
#define SOURCE_CTL_SERVER_CLIENT_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "Core/Common/result.h"
#include "Core/Transport/http_client.h"
#include "Ctl/ctl_options.h"
#include "Ctl/server_call.h"

namespace daisyroad {

// Sends calls to the entry instances of --server, one call at a time.
class ServerClient {
 public:
  explicit ServerClient(const CtlOptions& options);

  // Tries the servers in turn, and another one only after kUnavailable, that
  // is, when the call was certainly not received. Any other error leaves its
  // outcome open; later calls then begin with the next server, because a
  // server that does not answer a write may not answer the question after it.
  Result<HttpResponse> Send(const ServerCall& call);

 private:
  Result<HttpResponse> SendTo(const std::string& server,
                              const ServerCall& call);

  std::vector<std::string> servers;
  std::string key;
  Milliseconds timeout;
  std::size_t first = 0;
  HttpClient http;
};

// Percent-encodes everything but unreserved characters.
std::string EscapeUrl(std::string_view text);

}  // namespace daisyroad

#endif  // SOURCE_CTL_SERVER_CLIENT_H_
