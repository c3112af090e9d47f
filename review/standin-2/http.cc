#include "http.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <chrono>
#include <stdexcept>

namespace review {
namespace {

sockaddr_in Loopback(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
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
      plain.push_back(text[i]);
    }
  }
  return plain;
}

std::map<std::string, std::string> ReadQuery(const std::string& text) {
  std::map<std::string, std::string> query;
  std::size_t begin = 0;
  while (begin < text.size()) {
    const std::size_t end = std::min(text.find('&', begin), text.size());
    const std::string part = text.substr(begin, end - begin);
    const std::size_t equals = part.find('=');
    if (equals != std::string::npos) {
      query[part.substr(0, equals)] = Unescape(part.substr(equals + 1));
    }
    begin = end + 1;
  }
  return query;
}

// Reads a head and its body. Returns false if the connection ends before.
bool ReadMessage(int connection,
                 std::string* buffer,
                 std::string* first_line,
                 std::map<std::string, std::string>* headers,
                 std::string* body) {
  std::size_t end = std::string::npos;
  char chunk[16384];
  while ((end = buffer->find("\r\n\r\n")) == std::string::npos) {
    const ssize_t size = ::recv(connection, chunk, sizeof(chunk), 0);
    if (size <= 0) {
      return false;
    }
    buffer->append(chunk, size);
  }
  const std::string head = buffer->substr(0, end);
  buffer->erase(0, end + 4);
  std::size_t line = head.find("\r\n");
  *first_line = head.substr(0, line);
  headers->clear();
  while (line != std::string::npos) {
    const std::size_t next = head.find("\r\n", line + 2);
    const std::string text = head.substr(
        line + 2, next == std::string::npos ? next : next - line - 2);
    const std::size_t colon = text.find(':');
    if (colon != std::string::npos) {
      std::size_t value = colon + 1;
      while (value < text.size() && text[value] == ' ') {
        ++value;
      }
      (*headers)[Lower(text.substr(0, colon))] = text.substr(value);
    }
    line = next;
  }
  const std::size_t length = headers->contains("content-length")
                                 ? std::stoul(headers->at("content-length"))
                                 : 0;
  while (buffer->size() < length) {
    const ssize_t size = ::recv(connection, chunk, sizeof(chunk), 0);
    if (size <= 0) {
      return false;
    }
    buffer->append(chunk, size);
  }
  *body = buffer->substr(0, length);
  buffer->erase(0, length);
  return true;
}

bool WriteAll(int connection, const std::string& text) {
  std::size_t sent = 0;
  while (sent < text.size()) {
    const ssize_t size = ::send(connection, text.data() + sent,
                                text.size() - sent, MSG_NOSIGNAL);
    if (size <= 0) {
      return false;
    }
    sent += size;
  }
  return true;
}

}  // namespace

HttpServer::HttpServer(Handler handler, std::uint16_t port)
    : handler(std::move(handler)) {
  this->listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int yes = 1;
  ::setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
  sockaddr_in address = Loopback(port);
  socklen_t size = sizeof(address);
  if (::bind(this->listener, reinterpret_cast<sockaddr*>(&address), size) !=
          0 ||
      ::listen(this->listener, 512) != 0 ||
      ::getsockname(this->listener, reinterpret_cast<sockaddr*>(&address),
                    &size) != 0) {
    throw std::runtime_error("cannot listen on a loopback port");
  }
  this->bound_port = ntohs(address.sin_port);
  this->thread = std::thread([this]() { this->Accept(); });
}

HttpServer::~HttpServer() {
  this->Stop();
}

std::string HttpServer::address() const {
  return "127.0.0.1:" + std::to_string(this->bound_port);
}

void HttpServer::Stop() {
  if (this->stopping.exchange(true)) {
    return;
  }
  this->thread.join();
  ::close(this->listener);
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    for (const int connection : this->connections) {
      const linger reset{1, 0};
      ::setsockopt(connection, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
      ::shutdown(connection, SHUT_RDWR);
    }
  }
  while (this->serving > 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
}

void HttpServer::Accept() {
  while (!this->stopping) {
    pollfd ready{this->listener, POLLIN, 0};
    if (::poll(&ready, 1, 10) <= 0) {
      continue;
    }
    const int connection =
        ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (connection < 0) {
      continue;
    }
    const int yes = 1;
    ::setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      this->connections.insert(connection);
    }
    ++this->serving;
    std::thread([this, connection]() { this->Serve(connection); }).detach();
  }
}

void HttpServer::Serve(int connection) {
  std::string buffer;
  std::string line;
  Request request;
  while (!this->stopping && ReadMessage(connection, &buffer, &line,
                                        &request.headers, &request.body)) {
    const std::size_t space = line.find(' ');
    const std::size_t last = line.rfind(' ');
    const std::string target = line.substr(space + 1, last - space - 1);
    const std::size_t question = target.find('?');
    request.method = line.substr(0, space);
    request.path = target.substr(0, question);
    request.query = question == std::string::npos
                        ? std::map<std::string, std::string>()
                        : ReadQuery(target.substr(question + 1));
    const Response response = this->handler(request);
    if (response.status == 0 ||
        !WriteAll(connection, "HTTP/1.1 " + std::to_string(response.status) +
                                  " X\r\nContent-Type: application/json\r\n"
                                  "Content-Length: " +
                                  std::to_string(response.body.size()) +
                                  "\r\n\r\n" + response.body)) {
      break;
    }
  }
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->connections.erase(connection);
    ::close(connection);
  }
  --this->serving;
}

Response Call(const std::string& address,
              const std::string& method,
              const std::string& path,
              const std::map<std::string, std::string>& headers,
              const std::string& body,
              int timeout_ms) {
  const int connection = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const timeval limit{timeout_ms / 1000, timeout_ms % 1000 * 1000};
  ::setsockopt(connection, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  ::setsockopt(connection, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
  const sockaddr_in peer = Loopback(static_cast<std::uint16_t>(
      std::stoi(address.substr(address.rfind(':') + 1))));
  std::string text = method + " " + path + " HTTP/1.1\r\n";
  for (const std::pair<const std::string, std::string>& header : headers) {
    text += header.first + ": " + header.second + "\r\n";
  }
  text += "Content-Type: application/json\r\nContent-Length: " +
          std::to_string(body.size()) + "\r\n\r\n" + body;
  Response response;
  std::string buffer;
  std::string line;
  std::map<std::string, std::string> received;
  if (::connect(connection, reinterpret_cast<const sockaddr*>(&peer),
                sizeof(peer)) == 0 &&
      WriteAll(connection, text) &&
      ReadMessage(connection, &buffer, &line, &received, &response.body)) {
    response.status = std::stoi(line.substr(line.find(' ') + 1));
  }
  ::close(connection);
  return response;
}

std::uint16_t FreePort() {
  constexpr int kLowest = 20000;
  constexpr int kRange = 12000;
  static int next = ::getpid() * 37;
  for (int i = 0; i < kRange; ++i) {
    const std::uint16_t port =
        static_cast<std::uint16_t>(kLowest + next++ % kRange);
    const int probe = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = Loopback(port);
    const bool is_free =
        ::bind(probe, reinterpret_cast<const sockaddr*>(&address),
               sizeof(address)) == 0;
    ::close(probe);
    if (is_free) {
      return port;
    }
  }
  throw std::runtime_error("no free port");
}

}  // namespace review
