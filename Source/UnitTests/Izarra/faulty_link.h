#ifndef SOURCE_UNITTESTS_IZARRA_FAULTY_LINK_H_
#define SOURCE_UNITTESTS_IZARRA_FAULTY_LINK_H_

#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "UnitTests/Transport/listening_socket.h"

namespace daisyroad::platform {

// What happens to a request and its response.
enum class LinkFault {
  kRefuse,          // 503, not delivered
  kReset,           // connection reset, not delivered
  kResetDelivered,  // connection reset after the server responded
  kSilent,          // delivered; the response is dropped
  kLate,            // delivered after the client has given up
};

const char* ToString(LinkFault fault);

// Forwards HTTP requests to a server at 127.0.0.1, one thread a connection.
class FaultyLink {
 public:
  explicit FaultyLink(std::uint16_t server_port);
  ~FaultyLink();
  FaultyLink(const FaultyLink&) = delete;
  FaultyLink& operator=(const FaultyLink&) = delete;

  std::string address() const { return this->listener.address(); }
  // Faults of the next requests whose body contains the text, in order.
  void SetFaults(const std::string& text, std::deque<LinkFault> faults);

 private:
  void Accept();
  void Serve(int client);
  std::optional<LinkFault> TakeFault(const std::string& request);
  // Returns an empty response if the server does not respond.
  std::string Forward(int server, const std::string& request) const;
  int Connect() const;

  std::uint16_t server_port;
  std::mutex mutex;
  bool is_stopping = false;
  std::map<std::string, std::deque<LinkFault>> faults;
  std::set<int> sockets;
  ListeningSocket listener;
  std::vector<std::thread> connections;
  std::thread acceptor;
};

}  // namespace daisyroad::platform

#endif  // SOURCE_UNITTESTS_IZARRA_FAULTY_LINK_H_
