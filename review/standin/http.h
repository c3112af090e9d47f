// Minimal HTTP/1.1 server and client on loopback addresses, for stand-ins.
#ifndef REVIEW_STANDIN_HTTP_H_
#define REVIEW_STANDIN_HTTP_H_

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
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

struct Reply {
  int status = 200;
  std::string body = "{}";
};

// One thread for each connection, so handlers may block.
class Server {
 public:
  // No reply resets the connection.
  using Handler = std::function<std::optional<Reply>(const Request&)>;

  explicit Server(Handler handler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  const std::string& address() const { return this->own_address; }
  // While off, the port refuses connections, and those that were open are
  // reset.
  void SetOn(bool is_on);

 private:
  void Listen();
  void Accept(int listening);
  void Serve(int socket);

  Handler handler;
  std::string own_address;
  int port = 0;
  int listener = -1;
  bool is_on = false;
  std::thread acceptor;
  std::mutex mutex;
  std::set<int> sockets;
  std::atomic<int> threads = 0;
};

struct Answer {
  int status = 0;  // 0: no answer
  std::string body;
};

Answer Call(const std::string& address,
            const std::string& method,
            const std::string& path,
            const std::map<std::string, std::string>& headers,
            const std::string& body,
            int timeout_ms);

// A port of 127.0.0.1 below the ephemeral range on which nothing listens.
int FreePort();

}  // namespace review

#endif  // REVIEW_STANDIN_HTTP_H_
