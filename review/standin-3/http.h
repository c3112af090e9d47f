// A small HTTP/1.1 server and client for the stand-ins of this review: one
// thread for each connection, loopback addresses only.

#ifndef REVIEW_STANDIN_3_HTTP_H_
#define REVIEW_STANDIN_3_HTTP_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace review {

struct Request {
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;
};

struct Response {
  int status = 200;
  std::string body;
};

// No response stands for an answer that is lost: the connection stays open
// without one.
using Handler = std::function<std::optional<Response>(const Request&)>;

class Server {
 public:
  Server();
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  // Listens at 127.0.0.1; port 0 takes a free one. Returns whether it worked.
  bool Start(std::uint16_t port, Handler handler);
  // Closes the listener and resets all connections.
  void Stop();
  std::uint16_t port() const { return this->bound_port; }
  std::string address() const {
    return "127.0.0.1:" + std::to_string(this->bound_port);
  }

 private:
  struct Core;
  std::shared_ptr<Core> core;
  std::uint16_t bound_port = 0;
};

// A port of 127.0.0.1 that is free now and below the range from which the
// system takes ports for outgoing connections.
std::uint16_t FreePort();

// Sends one request on a connection of its own. Returns status 0 without an
// answer in time.
Response Call(const std::string& method,
              const std::string& address,
              const std::string& path,
              const std::map<std::string, std::string>& headers,
              const std::string& body,
              int timeout_ms);

}  // namespace review

#endif  // REVIEW_STANDIN_3_HTTP_H_
