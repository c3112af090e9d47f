#ifndef SOURCE_UNITTESTS_TRANSPORT_RESETTING_SERVER_H_
#define SOURCE_UNITTESTS_TRANSPORT_RESETTING_SERVER_H_

#include <atomic>
#include <string>
#include <thread>

#include "UnitTests/Transport/listening_socket.h"

namespace daisyroad {

// Responds with 200 to one request, reads the next one on the same connection
// and resets it without a response, then responds to all later requests with
// `status`. All responses have the same body.
class ResettingServer {
 public:
  ResettingServer(int status, std::string body);
  ~ResettingServer();
  ResettingServer(const ResettingServer&) = delete;
  ResettingServer& operator=(const ResettingServer&) = delete;

  std::string url() const { return this->listener.url(); }
  std::string address() const { return this->listener.address(); }
  // Requests that were read, with and without a response.
  int requests() const { return this->request_count; }

 private:
  void Serve();
  bool ReadRequest(int connection);
  void Respond(int connection, int status) const;

  int status;
  std::string body;
  std::atomic<int> request_count = 0;
  ListeningSocket listener;
  std::thread thread;
};

}  // namespace daisyroad

#endif  // SOURCE_UNITTESTS_TRANSPORT_RESETTING_SERVER_H_
