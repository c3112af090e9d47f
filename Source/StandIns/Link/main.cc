// standin-link: relays TCP connections from one port of 127.0.0.1 to another
// and loses them on command, for tests of partitions and silent connections.
// Commands are lines on standard input: "cut" drops all bytes of open and new
// connections without closing them, "cut-open" those of open connections only,
// "heal" lets new connections through again.

#include <array>
#include <asio/connect.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/posix/stream_descriptor.hpp>
#include <asio/read_until.hpp>
#include <asio/signal_set.hpp>
#include <asio/streambuf.hpp>
#include <asio/write.hpp>
#include <cstdint>
#include <iostream>
#include <istream>
#include <memory>
#include <string>
#include <utility>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"

ABSL_FLAG(std::uint16_t, port, 0, "port to listen on");
ABSL_FLAG(std::uint16_t, target, 0, "port to relay to");

namespace daisyroad {
namespace {

using asio::ip::tcp;

struct LinkState {
  bool cut = false;
  // Connections of an older generation are silent for good.
  std::uint64_t generation = 0;
};

class Relay : public std::enable_shared_from_this<Relay> {
 public:
  Relay(tcp::socket client, const LinkState* state)
      : client(std::move(client)),
        server(this->client.get_executor()),
        state(state),
        generation(state->generation) {}

  void Start(std::uint16_t target) {
    const std::shared_ptr<Relay> self = this->shared_from_this();
    const tcp::endpoint endpoint(asio::ip::address_v4::loopback(), target);
    this->server.async_connect(endpoint, [self](const std::error_code& error) {
      if (error) {
        return;
      }
      self->Forward(&self->client, &self->server, &self->upstream);
      self->Forward(&self->server, &self->client, &self->downstream);
    });
  }

 private:
  using Buffer = std::array<char, 16384>;

  bool Silent() const {
    return this->state->cut || this->generation != this->state->generation;
  }

  void Forward(tcp::socket* from, tcp::socket* to, Buffer* buffer) {
    const std::shared_ptr<Relay> self = this->shared_from_this();
    from->async_read_some(
        asio::buffer(*buffer),
        [self, from, to, buffer](const std::error_code& error,
                                 std::size_t size) {
          if (error) {
            self->Close(error, to);
            return;
          }
          if (self->Silent()) {
            self->Forward(from, to, buffer);
            return;
          }
          asio::async_write(
              *to, asio::buffer(buffer->data(), size),
              [self, from, to, buffer](const std::error_code& write_error,
                                       std::size_t) {
                if (!write_error) {
                  self->Forward(from, to, buffer);
                }
              });
        });
  }

  void Close(const std::error_code&, tcp::socket* to) {
    // A lost connection does not carry the end of the stream either.
    if (!this->Silent()) {
      std::error_code ignored;
      to->close(ignored);
    }
  }

  tcp::socket client;
  tcp::socket server;
  const LinkState* state;
  std::uint64_t generation;
  Buffer upstream{};
  Buffer downstream{};
};

class Link {
 public:
  explicit Link(asio::io_context* context)
      : acceptor(*context,
                 tcp::endpoint(asio::ip::address_v4::loopback(),
                               absl::GetFlag(FLAGS_port))),
        input(*context, ::dup(STDIN_FILENO)) {
    this->Accept();
    this->ReadCommand();
  }

 private:
  void Accept() {
    this->acceptor.async_accept(
        [this](const std::error_code& error, tcp::socket socket) {
          if (!error) {
            std::make_shared<Relay>(std::move(socket), &this->state)
                ->Start(absl::GetFlag(FLAGS_target));
          }
          this->Accept();
        });
  }

  void ReadCommand() {
    asio::async_read_until(this->input, this->buffer, '\n',
                           [this](const std::error_code& error, std::size_t) {
                             if (error) {
                               return;
                             }
                             std::istream stream(&this->buffer);
                             std::string command;
                             std::getline(stream, command);
                             this->Apply(command);
                             this->ReadCommand();
                           });
  }

  void Apply(const std::string& command) {
    if (command == "cut") {
      this->state.cut = true;
      ++this->state.generation;
    } else if (command == "cut-open") {
      ++this->state.generation;
    } else if (command == "heal") {
      this->state.cut = false;
    } else {
      std::cerr << "unknown command \"" << command << "\"\n";
    }
  }

  LinkState state;
  tcp::acceptor acceptor;
  asio::posix::stream_descriptor input;
  asio::streambuf buffer;
};

}  // namespace
}  // namespace daisyroad

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  asio::io_context context(1);
  try {
    const daisyroad::Link link(&context);
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait(
        [&context](const std::error_code&, int) { context.stop(); });
    context.run();
  } catch (const std::exception& exception) {
    std::cerr << "standin-link: " << exception.what() << "\n";
    return 1;
  }
  return 0;
}
