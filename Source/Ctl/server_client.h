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

// Sends calls to the entry instances given by --server, one call at a time.
class ServerClient {
 public:
  explicit ServerClient(const CtlOptions& options);

  // Tries the servers in turn. Moves on to the next server only after
  // kUnavailable, which means that the server did not receive the call. After
  // any other error the outcome of the call is unknown; later calls then start
  // with the next server, because a server that does not respond to a write may
  // not respond to the read that looks up its outcome either.
  Result<HttpResponse> Send(const ServerCall& call);

 private:
  Result<HttpResponse> SendTo(const std::string& server,
                              const ServerCall& call);

  std::vector<std::string> servers;
  std::string key;
  Milliseconds timeout;
  std::size_t preferred_server = 0;
  HttpClient http;
};

// Percent-encodes all characters except the unreserved ones of RFC 3986.
std::string EscapeUrl(std::string_view text);

}  // namespace daisyroad

#endif  // SOURCE_CTL_SERVER_CLIENT_H_
