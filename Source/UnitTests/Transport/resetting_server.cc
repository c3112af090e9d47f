#include "UnitTests/Transport/resetting_server.h"

#include <unistd.h>

#include <utility>

#include "UnitTests/Transport/raw_http.h"

namespace daisyroad {

ResettingServer::ResettingServer(int status, std::string body)
    : status(status), body(std::move(body)) {
  this->thread = std::thread([this]() { this->Serve(); });
}

ResettingServer::~ResettingServer() {
  this->listener.Shutdown();
  this->thread.join();
}

void ResettingServer::Serve() {
  const int first = this->listener.Accept();
  if (this->ReadRequest(first)) {
    this->Respond(first, 200);
    this->ReadRequest(first);
  }
  ResetConnection(first);
  for (int connection = this->listener.Accept(); connection >= 0;
       connection = this->listener.Accept()) {
    if (this->ReadRequest(connection)) {
      this->Respond(connection, this->status);
    }
    close(connection);
  }
}

bool ResettingServer::ReadRequest(int connection) {
  if (ReadHttpMessage(connection).empty()) {
    return false;
  }
  ++this->request_count;
  return true;
}

void ResettingServer::Respond(int connection, int status) const {
  WriteAll(connection,
           "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Length: " +
               std::to_string(this->body.size()) + "\r\n\r\n" + this->body);
}

}  // namespace daisyroad
