#ifndef SOURCE_CORE_TRANSPORT_HTTP_MESSAGE_H_
#define SOURCE_CORE_TRANSPORT_HTTP_MESSAGE_H_

#include <functional>
#include <map>
#include <string>

#include "Core/Common/result.h"

namespace daisyroad {

// Header names are lower case, except in requests to HttpClient, where they may
// have any case.
using HttpHeaders = std::map<std::string, std::string>;

struct HttpRequest {
  std::string method;
  std::string path;  // decoded, without the query
  // Decoded; the values of a repeated parameter are joined with commas.
  std::map<std::string, std::string> query;
  HttpHeaders headers;
  std::string body;
  std::string peer;  // address and port of the client

  // Returns an empty string if there is no such header; `name` is lower case.
  std::string Header(const std::string& name) const;
  std::string Query(const std::string& name) const;
};

struct HttpResponse {
  int status = 200;
  HttpHeaders headers;
  std::string body;

  std::string Header(const std::string& name) const;
};

// Sends the response to one request. May be called from any thread; calls after
// the first are ignored.
using HttpResponder = std::function<void(HttpResponse)>;
using HttpHandler = std::function<void(HttpRequest, HttpResponder)>;

}  // namespace daisyroad

#endif  // SOURCE_CORE_TRANSPORT_HTTP_MESSAGE_H_
