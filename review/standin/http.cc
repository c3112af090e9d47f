#include "http.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <chrono>
#include <stdexcept>

namespace review {
namespace {

sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
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
  std::string result;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      result +=
          static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      result += text[i];
    }
  }
  return result;
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

void ResetOnClose(int socket) {
  const linger reset{1, 0};
  ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
}

// Reads a message: the first line, the headers and the body. `buffer` keeps
// what follows the message.
bool ReadMessage(int socket,
                 std::string* buffer,
                 std::string* first_line,
                 std::map<std::string, std::string>* headers,
                 std::string* body) {
  char chunk[16384];
  std::size_t end = std::string::npos;
  while ((end = buffer->find("\r\n\r\n")) == std::string::npos) {
    const ssize_t n = ::recv(socket, chunk, sizeof(chunk), 0);
    if (n <= 0) {
      return false;
    }
    buffer->append(chunk, static_cast<std::size_t>(n));
  }
  std::size_t begin = buffer->find("\r\n");
  *first_line = buffer->substr(0, begin);
  while (begin < end) {
    const std::size_t line_begin = begin + 2;
    begin = buffer->find("\r\n", line_begin);
    const std::string line = buffer->substr(line_begin, begin - line_begin);
    const std::size_t colon = line.find(':');
    if (colon != std::string::npos) {
      std::size_t value = colon + 1;
      while (value < line.size() && line[value] == ' ') {
        ++value;
      }
      (*headers)[Lower(line.substr(0, colon))] = line.substr(value);
    }
  }
  const std::size_t length = headers->contains("content-length")
                                 ? std::stoul(headers->at("content-length"))
                                 : 0;
  while (buffer->size() < end + 4 + length) {
    const ssize_t n = ::recv(socket, chunk, sizeof(chunk), 0);
    if (n <= 0) {
      return false;
    }
    buffer->append(chunk, static_cast<std::size_t>(n));
  }
  *body = buffer->substr(end + 4, length);
  buffer->erase(0, end + 4 + length);
  return true;
}

}  // namespace

Server::Server(Handler handler) : handler(std::move(handler)) {
  this->Listen();
  this->own_address = "127.0.0.1:" + std::to_string(this->port);
}

Server::~Server() {
  this->SetOn(false);
  while (this->threads > 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
}

void Server::Listen() {
  this->listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address = Loopback(this->port != 0 ? this->port : FreePort());
  if (::bind(this->listener, reinterpret_cast<sockaddr*>(&address),
             sizeof(address)) != 0 ||
      ::listen(this->listener, 256) != 0) {
    throw std::runtime_error("cannot listen");
  }
  this->port = ntohs(address.sin_port);
  this->is_on = true;
  const int listening = this->listener;
  this->acceptor =
      std::thread([this, listening]() { this->Accept(listening); });
}

void Server::SetOn(bool on) {
  if (on == this->is_on) {
    return;
  }
  if (on) {
    this->Listen();
    return;
  }
  this->is_on = false;
  ::shutdown(this->listener, SHUT_RDWR);
  this->acceptor.join();
  ::close(this->listener);
  const std::lock_guard<std::mutex> lock(this->mutex);
  for (const int socket : this->sockets) {
    ResetOnClose(socket);
    ::shutdown(socket, SHUT_RDWR);
  }
}

void Server::Accept(int listening) {
  for (;;) {
    const int socket = ::accept4(listening, nullptr, nullptr, SOCK_CLOEXEC);
    if (socket < 0) {
      return;
    }
    const int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      this->sockets.insert(socket);
    }
    ++this->threads;
    std::thread([this, socket]() { this->Serve(socket); }).detach();
  }
}

void Server::Serve(int socket) {
  std::string buffer;
  for (;;) {
    Request request;
    std::string line;
    if (!ReadMessage(socket, &buffer, &line, &request.headers, &request.body)) {
      break;
    }
    const std::size_t space = line.find(' ');
    std::string target = line.substr(space + 1, line.rfind(' ') - space - 1);
    request.method = line.substr(0, space);
    const std::size_t mark = target.find('?');
    request.path = target.substr(0, mark);
    while (mark != std::string::npos && target.size() > mark + 1) {
      const std::size_t next = target.find('&', mark + 1);
      const std::string pair = target.substr(
          mark + 1, next == std::string::npos ? next : next - mark - 1);
      const std::size_t equal = pair.find('=');
      request.query[pair.substr(0, equal)] = Unescape(pair.substr(equal + 1));
      target.erase(mark + 1, pair.size() + 1);
    }
    const std::optional<Reply> reply = this->handler(request);
    if (!reply) {
      ResetOnClose(socket);
      break;
    }
    if (!SendAll(socket, "HTTP/1.1 " + std::to_string(reply->status) +
                             " Status\r\nContent-Type: application/json\r\n"
                             "Content-Length: " +
                             std::to_string(reply->body.size()) + "\r\n\r\n" +
                             reply->body)) {
      break;
    }
  }
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->sockets.erase(socket);
    ::close(socket);
  }
  --this->threads;
}

Answer Call(const std::string& address,
            const std::string& method,
            const std::string& path,
            const std::map<std::string, std::string>& headers,
            const std::string& body,
            int timeout_ms) {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const timeval timeout{timeout_ms / 1000, (timeout_ms % 1000) * 1000};
  ::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
  const sockaddr_in peer =
      Loopback(std::stoi(address.substr(address.find(':') + 1)));
  Answer answer;
  std::string text = method + " " + path + " HTTP/1.1\r\n";
  for (const auto& [name, value] : headers) {
    text += name + ": " + value + "\r\n";
  }
  text += "Content-Type: application/json\r\nContent-Length: " +
          std::to_string(body.size()) + "\r\n\r\n" + body;
  std::string buffer;
  std::string line;
  std::map<std::string, std::string> received;
  if (::connect(socket, reinterpret_cast<const sockaddr*>(&peer),
                sizeof(peer)) == 0 &&
      SendAll(socket, text) &&
      ReadMessage(socket, &buffer, &line, &received, &answer.body)) {
    answer.status = std::stoi(line.substr(line.find(' ') + 1, 3));
  }
  ::close(socket);
  return answer;
}

int FreePort() {
  constexpr int kLowest = 20000;
  constexpr int kRange = 12000;
  static std::atomic<int> next = ::getpid() * 37;
  for (int i = 0; i < kRange; ++i) {
    const int port = kLowest + next++ % kRange;
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = Loopback(port);
    const bool is_free =
        ::bind(socket, reinterpret_cast<const sockaddr*>(&address),
               sizeof(address)) == 0;
    ::close(socket);
    if (is_free) {
      return port;
    }
  }
  throw std::runtime_error("no free port");
}

}  // namespace review
