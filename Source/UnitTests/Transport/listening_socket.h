#ifndef SOURCE_UNITTESTS_TRANSPORT_LISTENING_SOCKET_H_
#define SOURCE_UNITTESTS_TRANSPORT_LISTENING_SOCKET_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <string>

namespace daisyroad {

// A TCP socket that listens on a free port of the loopback interface.
class ListeningSocket {
 public:
  ListeningSocket() : listener(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    REQUIRE(bind(this->listener, reinterpret_cast<sockaddr*>(&address), size) ==
            0);
    REQUIRE(listen(this->listener, 4) == 0);
    REQUIRE(getsockname(this->listener, reinterpret_cast<sockaddr*>(&address),
                        &size) == 0);
    this->port = ntohs(address.sin_port);
  }
  ~ListeningSocket() { this->Close(); }
  ListeningSocket(const ListeningSocket&) = delete;
  ListeningSocket& operator=(const ListeningSocket&) = delete;

  std::string address() const {
    return "127.0.0.1:" + std::to_string(this->port);
  }
  std::string url() const { return "http://" + this->address() + "/"; }
  // Waits for a connection and returns its descriptor, or a negative number
  // after Shutdown().
  int Accept() const { return accept(this->listener, nullptr, nullptr); }
  // Ends the waits for a connection.
  void Shutdown() const { shutdown(this->listener, SHUT_RDWR); }
  void Close() {
    if (this->listener >= 0) {
      close(this->listener);
      this->listener = -1;
    }
  }

 private:
  int listener;
  int port = 0;
};

}  // namespace daisyroad

#endif  // SOURCE_UNITTESTS_TRANSPORT_LISTENING_SOCKET_H_
