#ifndef SOURCE_CTL_SERVER_CALL_H_
#define SOURCE_CTL_SERVER_CALL_H_

#include <string>

#include "Core/Common/time.h"
#include "Core/Transport/http_message.h"

namespace daisyroad {

// One call of the HTTP interface of docs/api.md.
struct ServerCall {
  std::string method = "GET";
  std::string path;  // with the query, percent-encoded
  std::string body;
  HttpHeaders headers;
  // Time that the server may spend waiting, on top of the time limit.
  Milliseconds wait{0};
};

}  // namespace daisyroad

#endif  // SOURCE_CTL_SERVER_CALL_H_
