#ifndef SOURCE_CTL_SERVER_CALL_H_
#define SOURCE_CTL_SERVER_CALL_H_

#include <string>

#include "Core/Common/time.h"
#include "Core/Transport/http_message.h"

namespace daisyroad {

// A request to the HTTP API that docs/api.md describes.
struct ServerCall {
  std::string method = "GET";
  std::string path;  // with the query, percent-encoded
  std::string body;
  HttpHeaders headers;
  // How long the server may hold the request open; added to the time limit.
  Milliseconds server_wait{0};
};

}  // namespace daisyroad

#endif  // SOURCE_CTL_SERVER_CALL_H_
