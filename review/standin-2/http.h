// A small HTTP/1.1 server and client for the stand-ins.
#ifndef REVIEW_STANDIN_2_HTTP_H_
#define REVIEW_STANDIN_2_HTTP_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>

namespace review {

struct Request {
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;
};

struct Response {
  int status = 0;  // 0: no answer
  std::string body;
};

using Handler = std::function<Response(const Request&)>;

// Serves each connection on a thread of its own.
class HttpServer {
 public:
  // Listens on 127.0.0.1; port 0 takes a free one.
  HttpServer(Handler handler, std::uint16_t port = 0);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  std::uint16_t port() const { return this->bound_port; }
  std::string address() const;
  // Resets all connections and stops listening. Handlers that wait must return
  // on their own.
  void Stop();

 private:
  void Accept();
  void Serve(int connection);

  Handler handler;
  int listener = -1;
  std::uint16_t bound_port = 0;
  std::atomic<bool> stopping = false;
  std::atomic<int> serving = 0;
  std::mutex mutex;
  std::set<int> connections;
  std::thread thread;
};

// Sends one request on a new connection.
Response Call(const std::string& address,
              const std::string& method,
              const std::string& path,
              const std::map<std::string, std::string>& headers,
              const std::string& body,
              int timeout_ms);

// A port of 127.0.0.1 that is free now, below the ephemeral range.
std::uint16_t FreePort();

}  // namespace review

#endif  // REVIEW_STANDIN_2_HTTP_H_
