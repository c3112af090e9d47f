#ifndef SOURCE_CORE_TRANSPORT_HTTP_CLIENT_H_
#define SOURCE_CORE_TRANSPORT_HTTP_CLIENT_H_

#include <functional>
#include <memory>
#include <string>

#include "Core/Common/result.h"
#include "Core/Common/time.h"
#include "Core/Transport/http_message.h"

namespace daisyroad {

class MetricsRegistry;

struct HttpClientRequest {
  std::string method = "GET";
  std::string url;
  HttpHeaders headers;
  std::string body;
  Milliseconds connect_timeout{500};
  Milliseconds timeout{2000};  // whole exchange, connecting included
  // Label of the byte counters, for example "store".
  std::string traffic = "other";
  // Opens a new connection and does not keep it, to tell a silent connection
  // from a silent peer.
  bool fresh_connection = false;
};

// Asynchronous HTTP/1.1 client on libcurl, with one thread of its own.
//
// Errors: kUnavailable means that no connection was made, so the request was
// certainly not received; every other error leaves open whether it was.
// libcurl may repeat a request on a new connection if a kept one turns out to
// be closed before any byte of an answer: requests that must not be received
// twice need an identifier that the peer checks.
class HttpClient {
 public:
  using Callback = std::function<void(Result<HttpResponse>)>;
  // Runs a function on the caller's thread, for example EventLoop::Post.
  using Executor = std::function<void(std::function<void()>)>;

  // Callbacks run through `executor`. `metrics` may be null; if not, it counts
  // the bytes of requests and answers, HTTP headers included, by traffic.
  explicit HttpClient(Executor executor, MetricsRegistry* metrics = nullptr);
  // Drops the exchanges in progress without calling back.
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  void Send(HttpClientRequest request, Callback callback);
  // Gives up the connections made so far to `authority` (host:port): requests
  // in progress on them end with kTimeout, later ones use new connections.
  // Requests with `fresh_connection` go on.
  void RetireConnections(const std::string& authority);

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_TRANSPORT_HTTP_CLIENT_H_
