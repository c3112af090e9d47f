#include "UnitTests/Izarra/faulty_link.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <utility>

#include "Core/Common/time.h"
#include "UnitTests/Transport/raw_http.h"

namespace daisyroad::platform {
namespace {

constexpr char kRefusal[] = "HTTP/1.1 503 X\r\nContent-Length: 2\r\n\r\n{}";
// Longer than clients wait for a write.
constexpr Milliseconds kLateDelay{1500};

}  // namespace

const char* ToString(LinkFault fault) {
  switch (fault) {
    case LinkFault::kRefuse:
      return "refuse";
    case LinkFault::kReset:
      return "reset";
    case LinkFault::kResetDelivered:
      return "reset_delivered";
    case LinkFault::kSilent:
      return "silent";
    case LinkFault::kLate:
      return "late";
  }
  return "";
}

FaultyLink::FaultyLink(std::uint16_t server_port) : server_port(server_port) {
  this->acceptor = std::thread([this]() { this->Accept(); });
}

FaultyLink::~FaultyLink() {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->is_stopping = true;
    for (const int socket : this->sockets) {
      ::shutdown(socket, SHUT_RDWR);
    }
  }
  this->listener.Shutdown();
  this->acceptor.join();
  for (std::thread& connection : this->connections) {
    connection.join();
  }
}

void FaultyLink::SetFaults(const std::string& text,
                           std::deque<LinkFault> faults) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->faults[text] = std::move(faults);
}

std::optional<LinkFault> FaultyLink::TakeFault(const std::string& request) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  for (std::pair<const std::string, std::deque<LinkFault>>& entry :
       this->faults) {
    if (!entry.second.empty() &&
        request.find(entry.first) != std::string::npos) {
      const LinkFault fault = entry.second.front();
      entry.second.pop_front();
      return fault;
    }
  }
  return std::nullopt;
}

void FaultyLink::Accept() {
  for (;;) {
    const int client = this->listener.Accept();
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (client < 0 || this->is_stopping) {
      ::close(client);
      return;
    }
    this->sockets.insert(client);
    this->connections.emplace_back([this, client]() { this->Serve(client); });
  }
}

void FaultyLink::Serve(int client) {
  const int server = this->Connect();
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->sockets.insert(server);
  }
  bool is_reset = false;
  for (std::string request = ReadHttpMessage(client);
       !request.empty() && !is_reset; request = ReadHttpMessage(client)) {
    const std::optional<LinkFault> fault = this->TakeFault(request);
    if (fault == LinkFault::kRefuse) {
      WriteAll(client, kRefusal);
      continue;
    }
    if (fault == LinkFault::kLate) {
      std::this_thread::sleep_for(kLateDelay);
    }
    const std::string response =
        fault == LinkFault::kReset ? "" : this->Forward(server, request);
    is_reset = fault == LinkFault::kReset ||
               fault == LinkFault::kResetDelivered || response.empty();
    if (!fault) {
      WriteAll(client, response);
    }
    if (is_reset) {
      break;
    }
  }
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->sockets.erase(client);
  this->sockets.erase(server);
  if (is_reset) {
    ResetConnection(client);
  } else {
    ::close(client);
  }
  ::close(server);
}

std::string FaultyLink::Forward(int server, const std::string& request) const {
  WriteAll(server, request);
  return ReadHttpMessage(server);
}

int FaultyLink::Connect() const {
  const int server = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(this->server_port);
  static_cast<void>(::connect(server, reinterpret_cast<sockaddr*>(&address),
                              sizeof(address)));
  return server;
}

}  // namespace daisyroad::platform
