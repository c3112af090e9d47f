#include "http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <chrono>
#include <mutex>
#include <set>
#include <thread>

namespace review {
namespace {

sockaddr_in LoopbackAddress(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return text;
}

std::string Unescape(const std::string& text) {
  std::string plain;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      plain.push_back(
          static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16)));
      i += 2;
    } else {
      plain.push_back(text[i] == '+' ? ' ' : text[i]);
    }
  }
  return plain;
}

// Reads the head and the body of one message from `pending` and the socket.
// Returns false at the end of the stream.
bool ReadMessage(int socket,
                 std::string* pending,
                 std::string* start_line,
                 std::map<std::string, std::string>* headers,
                 std::string* body) {
  char buffer[16384];
  std::size_t head_end = std::string::npos;
  while ((head_end = pending->find("\r\n\r\n")) == std::string::npos) {
    const ssize_t n = ::recv(socket, buffer, sizeof(buffer), 0);
    if (n <= 0) {
      return false;
    }
    pending->append(buffer, static_cast<std::size_t>(n));
  }
  const std::string head = pending->substr(0, head_end);
  pending->erase(0, head_end + 4);
  headers->clear();
  std::size_t at = head.find("\r\n");
  *start_line = head.substr(0, at);
  while (at != std::string::npos) {
    const std::size_t begin = at + 2;
    at = head.find("\r\n", begin);
    const std::string line = head.substr(
        begin, at == std::string::npos ? std::string::npos : at - begin);
    const std::size_t colon = line.find(':');
    if (colon != std::string::npos) {
      std::size_t value = colon + 1;
      while (value < line.size() && line[value] == ' ') {
        ++value;
      }
      (*headers)[Lower(line.substr(0, colon))] = line.substr(value);
    }
  }
  std::size_t length = 0;
  if (headers->count("content-length") != 0) {
    length = std::stoul((*headers)["content-length"]);
  }
  while (pending->size() < length) {
    const ssize_t n = ::recv(socket, buffer, sizeof(buffer), 0);
    if (n <= 0) {
      return false;
    }
    pending->append(buffer, static_cast<std::size_t>(n));
  }
  *body = pending->substr(0, length);
  pending->erase(0, length);
  return true;
}

bool SendAll(int socket, const std::string& text) {
  std::size_t sent = 0;
  while (sent < text.size()) {
    const ssize_t n =
        ::send(socket, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

Request ParseRequest(const std::string& start_line) {
  Request request;
  const std::size_t first = start_line.find(' ');
  const std::size_t second = start_line.find(' ', first + 1);
  request.method = start_line.substr(0, first);
  std::string target = start_line.substr(first + 1, second - first - 1);
  const std::size_t mark = target.find('?');
  if (mark != std::string::npos) {
    std::string rest = target.substr(mark + 1);
    target.resize(mark);
    while (!rest.empty()) {
      const std::size_t end = rest.find('&');
      const std::string part = rest.substr(0, end);
      rest = end == std::string::npos ? "" : rest.substr(end + 1);
      const std::size_t equals = part.find('=');
      request.query[Unescape(part.substr(0, equals))] =
          equals == std::string::npos ? "" : Unescape(part.substr(equals + 1));
    }
  }
  request.path = Unescape(target);
  return request;
}

}  // namespace

struct Server::Core {
  std::mutex mutex;
  std::set<int> sockets;
  std::atomic<bool> stopped = false;
  std::atomic<int> threads = 0;
  int listener = -1;
  Handler handler;

  void Serve(int socket) {
    std::string pending;
    std::string start_line;
    std::map<std::string, std::string> headers;
    std::string body;
    while (!this->stopped &&
           ReadMessage(socket, &pending, &start_line, &headers, &body)) {
      Request request = ParseRequest(start_line);
      request.headers = headers;
      request.body = body;
      std::optional<Response> response;
      try {
        response = this->handler(request);
      } catch (const std::exception&) {
        response = Response{400, "{}"};
      }
      if (!response) {
        // The answer is lost: nothing more comes on this connection.
        char ignored[1024];
        while (::recv(socket, ignored, sizeof(ignored), 0) > 0) {
        }
        break;
      }
      const std::string text =
          "HTTP/1.1 " + std::to_string(response->status) +
          " -\r\nContent-Type: application/json\r\nContent-Length: " +
          std::to_string(response->body.size()) + "\r\n\r\n" + response->body;
      if (!SendAll(socket, text)) {
        break;
      }
    }
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->sockets.erase(socket);
    ::close(socket);
  }
};

Server::Server() = default;

Server::~Server() {
  this->Stop();
}

bool Server::Start(std::uint16_t port, Handler handler) {
  const std::shared_ptr<Core> made = std::make_shared<Core>();
  made->handler = std::move(handler);
  made->listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(made->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address = LoopbackAddress(port);
  if (::bind(made->listener, reinterpret_cast<sockaddr*>(&address),
             sizeof(address)) != 0 ||
      ::listen(made->listener, 128) != 0) {
    ::close(made->listener);
    return false;
  }
  socklen_t size = sizeof(address);
  ::getsockname(made->listener, reinterpret_cast<sockaddr*>(&address), &size);
  this->bound_port = ntohs(address.sin_port);
  this->core = made;
  std::thread([made]() {
    while (!made->stopped) {
      const int socket =
          ::accept4(made->listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (socket < 0) {
        if (made->stopped) {
          break;
        }
        continue;
      }
      const int on = 1;
      ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      {
        const std::lock_guard<std::mutex> lock(made->mutex);
        if (made->stopped) {
          ::close(socket);
          break;
        }
        made->sockets.insert(socket);
      }
      std::thread([made, socket]() { made->Serve(socket); }).detach();
    }
    ::close(made->listener);
  }).detach();
  return true;
}

void Server::Stop() {
  if (!this->core) {
    return;
  }
  {
    const std::lock_guard<std::mutex> lock(this->core->mutex);
    this->core->stopped = true;
    const linger reset{1, 0};
    for (const int socket : this->core->sockets) {
      ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
      ::shutdown(socket, SHUT_RDWR);
    }
  }
  ::shutdown(this->core->listener, SHUT_RDWR);
  this->core.reset();
}

std::uint16_t FreePort() {
  constexpr int kLowest = 20000;
  constexpr int kRange = 12000;
  static int next = ::getpid() * 53;
  for (int i = 0; i < kRange; ++i) {
    const std::uint16_t port =
        static_cast<std::uint16_t>(kLowest + next++ % kRange);
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = LoopbackAddress(port);
    const bool is_free = ::bind(socket, reinterpret_cast<sockaddr*>(&address),
                                sizeof(address)) == 0;
    ::close(socket);
    if (is_free) {
      return port;
    }
  }
  return 0;
}

Response Call(const std::string& method,
              const std::string& address,
              const std::string& path,
              const std::map<std::string, std::string>& headers,
              const std::string& body,
              int timeout_ms) {
  Response none{0, ""};
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const timeval limit{timeout_ms / 1000, (timeout_ms % 1000) * 1000};
  ::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  ::setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
  const sockaddr_in peer = LoopbackAddress(static_cast<std::uint16_t>(
      std::stoi(address.substr(address.find(':') + 1))));
  if (::connect(socket, reinterpret_cast<const sockaddr*>(&peer),
                sizeof(peer)) != 0) {
    ::close(socket);
    return none;
  }
  std::string text = method + " " + path + " HTTP/1.1\r\n";
  for (const std::pair<const std::string, std::string>& header : headers) {
    text += header.first + ": " + header.second + "\r\n";
  }
  if (!body.empty()) {
    text += "Content-Type: application/json\r\n";
  }
  text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  std::string pending;
  std::string start_line;
  std::map<std::string, std::string> received;
  Response response;
  if (!SendAll(socket, text) ||
      !ReadMessage(socket, &pending, &start_line, &received, &response.body)) {
    ::close(socket);
    return none;
  }
  ::close(socket);
  response.status = std::stoi(start_line.substr(start_line.find(' ') + 1));
  return response;
}

}  // namespace review
