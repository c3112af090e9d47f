#ifndef SOURCE_CORE_TRANSPORT_HTTP_SERVER_H_
#define SOURCE_CORE_TRANSPORT_HTTP_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "Core/Common/result.h"
#include "Core/Common/time.h"
#include "Core/Transport/http_message.h"

namespace daisyroad {

class ClientGuard;

struct HttpServerOptions {
  std::string address = "127.0.0.1";
  std::uint16_t port = 0;  // 0: the system chooses a free port
  std::size_t threads = 1;
  std::size_t max_connections = 4096;
  std::size_t max_body_bytes = 1 << 20;
  // A client that has not sent its whole request within this time is
  // disconnected.
  Milliseconds request_read_timeout{5000};
  Milliseconds write_timeout{10000};
  // Limits that the ports of a process share. If null, the server has its own.
  std::shared_ptr<ClientGuard> clients;
  // The clients of this port are closed after those of the others.
  bool is_trusted = false;
  // Maximum time for a handler to respond, including long polls.
  Milliseconds handler_timeout{600000};
};

// HTTP/1.1 server based on RESTinio. The handler runs on the server's threads
// and must not block.
class HttpServer {
 public:
  HttpServer();
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Fails if the address cannot be bound.
  Status Start(const HttpServerOptions& options, HttpHandler handler);
  // The port that the server listens on, also if the system chose it.
  std::uint16_t port() const;
  // Stops accepting connections and closes the open ones. Requests in progress
  // get no response, so the caller should complete them first.
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_TRANSPORT_HTTP_SERVER_H_
