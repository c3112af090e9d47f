#include "UnitTests/Transport/raw_http.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>

namespace daisyroad {
namespace {

constexpr char kHeaderEnd[] = "\r\n\r\n";
constexpr std::size_t kHeaderEndLength = sizeof(kHeaderEnd) - 1;
constexpr char kLengthHeader[] = "content-length:";

std::size_t BodyLength(std::string header) {
  std::transform(header.begin(), header.end(), header.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  const std::size_t found = header.find(kLengthHeader);
  return found == std::string::npos
             ? 0
             : std::stoul(header.substr(found + sizeof(kLengthHeader) - 1));
}

}  // namespace

std::string ReadHttpMessage(int socket) {
  std::string received;
  for (;;) {
    const std::size_t header_end = received.find(kHeaderEnd);
    if (header_end != std::string::npos &&
        received.size() >= header_end + kHeaderEndLength +
                               BodyLength(received.substr(0, header_end))) {
      return received;
    }
    char buffer[16384];
    const ssize_t count = recv(socket, buffer, sizeof(buffer), 0);
    if (count <= 0) {
      return "";
    }
    received.append(buffer, static_cast<std::size_t>(count));
  }
}

void WriteAll(int socket, const std::string& data) {
  std::size_t sent = 0;
  while (sent < data.size()) {
    const ssize_t count =
        send(socket, data.data() + sent, data.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return;
    }
    sent += static_cast<std::size_t>(count);
  }
}

void ResetConnection(int socket) {
  const linger reset{1, 0};
  setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
  close(socket);
}

}  // namespace daisyroad
