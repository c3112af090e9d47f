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
  Milliseconds timeout{2000};  // of the whole exchange, including connecting
  // If not 0, the exchange also fails with kTimeout when no part of the
  // response arrives for this time. Allows a long `timeout` for responses that
  // may be large, without delaying the detection of a silent peer.
  Milliseconds silence_timeout{0};
  // Label of the request and byte counters, for example "store".
  std::string traffic = "other";
  // Opens a new connection and closes it afterwards, to distinguish a silent
  // connection from a silent peer.
  bool fresh_connection = false;
  // Maximum number of requests to the peer in progress, 0 for no limit. Later
  // requests wait for one of them to end, so that few connections are opened. A
  // request that waits longer than its timeout fails with kUnavailable.
  int max_in_progress = 0;
  // Whether the request may be sent again on a new connection if a reused one
  // breaks before any part of the response arrived. The response to the second
  // sending must then be valid for both. GET and HEAD requests always may.
  bool is_idempotent = false;
};

// Asynchronous HTTP/1.1 client based on libcurl, which runs on its own thread.
//
// Errors: kUnavailable means that no connection was made, so the request was
// certainly not received; after any other error it may have been. Requests that
// are not idempotent are sent at most once, so that a response tells what
// became of the only sending.
class HttpClient {
 public:
  using Callback = std::function<void(Result<HttpResponse>)>;
  // Runs a function on the caller's thread, for example EventLoop::Post.
  using Executor = std::function<void(std::function<void()>)>;

  // Callbacks run through `executor`. `metrics` may be null; otherwise it
  // counts requests, new connections and the bytes of requests and responses,
  // including HTTP headers, by traffic label. Events are handled at most once
  // per `batch_interval`, which adds as much to the duration of a request; a
  // client with many requests in progress then takes less CPU time for each.
  explicit HttpClient(Executor executor,
                      MetricsRegistry* metrics = nullptr,
                      Milliseconds batch_interval = Milliseconds(0));
  // Drops the requests in progress without running their callbacks.
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  void Send(HttpClientRequest request, Callback callback);
  // Stops using the existing connections to `authority` (host:port): requests
  // in progress on them fail with kTimeout, and later requests use new
  // connections. Requests with `fresh_connection` are not affected.
  void RetireConnections(const std::string& authority);

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_TRANSPORT_HTTP_CLIENT_H_
