// standin-link: relays TCP connections from one port of 127.0.0.1 to another
// and injects network faults, for tests of partitions and silent connections.
//
// Reads one command per line from standard input: "cut" drops all bytes of open
// and new connections without closing them, "cut-open" drops those of open
// connections only, "cut-to" and "cut-from" drop those to and from the target,
// "reset" resets all open connections, "delay MS" delays all bytes, and "heal"
// lets new connections through again without delay. A connection that has lost
// bytes stays silent permanently.

#include <array>
#include <asio/connect.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/posix/stream_descriptor.hpp>
#include <asio/read_until.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <asio/streambuf.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <istream>
#include <limits>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"

ABSL_FLAG(std::uint16_t, port, 0, "port to listen on");
ABSL_FLAG(std::uint16_t, target, 0, "port to relay to");

namespace daisyroad {
namespace {

using asio::ip::tcp;

struct LinkState {
  bool drops_to_target = false;    // drops bytes to the target
  bool drops_from_target = false;  // drops bytes from it
  std::chrono::milliseconds delay{0};
  // Connections of an older generation stay silent permanently.
  std::uint64_t generation = 0;
};

class Relay : public std::enable_shared_from_this<Relay> {
 public:
  Relay(tcp::socket client, const LinkState* state)
      : client(std::move(client)),
        server(this->client.get_executor()),
        state(state),
        generation(state->generation) {}

  // Closes both sides with a TCP reset.
  void Reset() {
    std::error_code ignored;
    for (tcp::socket* const socket : {&this->client, &this->server}) {
      socket->set_option(asio::socket_base::linger(true, 0), ignored);
      socket->close(ignored);
    }
  }

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

  bool IsSilent(const tcp::socket* from) const {
    const bool is_dropping = from == &this->client
                                 ? this->state->drops_to_target
                                 : this->state->drops_from_target;
    return is_dropping || this->generation != this->state->generation;
  }

  void Forward(tcp::socket* from, tcp::socket* to, Buffer* buffer) {
    const std::shared_ptr<Relay> self = this->shared_from_this();
    from->async_read_some(asio::buffer(*buffer),
                          [self, from, to, buffer](const std::error_code& error,
                                                   std::size_t size) {
                            if (error) {
                              self->Close(from, to);
                            } else if (self->IsSilent(from)) {
                              // Forwarding later bytes after a gap would
                              // corrupt the stream.
                              self->generation = kPermanentlySilent;
                              self->Forward(from, to, buffer);
                            } else {
                              self->WriteAfterDelay(from, to, buffer, size);
                            }
                          });
  }

  void WriteAfterDelay(tcp::socket* from,
                       tcp::socket* to,
                       Buffer* buffer,
                       std::size_t size) {
    const std::shared_ptr<Relay> self = this->shared_from_this();
    const std::shared_ptr<asio::steady_timer> timer =
        std::make_shared<asio::steady_timer>(from->get_executor(),
                                             this->state->delay);
    timer->async_wait([self, timer, from, to, buffer,
                       size](const std::error_code&) {
      asio::async_write(*to, asio::buffer(buffer->data(), size),
                        [self, from, to, buffer](
                            const std::error_code& write_error, std::size_t) {
                          if (!write_error) {
                            self->Forward(from, to, buffer);
                          }
                        });
    });
  }

  void Close(const tcp::socket* from, tcp::socket* to) {
    // A silent connection does not forward the end of the stream either.
    if (!this->IsSilent(from)) {
      std::error_code ignored;
      to->close(ignored);
    }
  }

  static constexpr std::uint64_t kPermanentlySilent =
      std::numeric_limits<std::uint64_t>::max();

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
            const std::shared_ptr<Relay> relay =
                std::make_shared<Relay>(std::move(socket), &this->state);
            relay->Start(absl::GetFlag(FLAGS_target));
            std::erase_if(this->relays, [](const std::weak_ptr<Relay>& old) {
              return old.expired();
            });
            this->relays.push_back(relay);
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
                             this->ApplyCommand(command);
                             this->ReadCommand();
                           });
  }

  void ApplyCommand(const std::string& command) {
    constexpr std::string_view kDelay = "delay ";
    if (command == "cut") {
      this->state.drops_to_target = true;
      this->state.drops_from_target = true;
      ++this->state.generation;
    } else if (command == "cut-open") {
      ++this->state.generation;
    } else if (command == "cut-to") {
      this->state.drops_to_target = true;
    } else if (command == "cut-from") {
      this->state.drops_from_target = true;
    } else if (command == "reset") {
      for (const std::weak_ptr<Relay>& relay : this->relays) {
        if (const std::shared_ptr<Relay> open = relay.lock()) {
          open->Reset();
        }
      }
    } else if (command.starts_with(kDelay)) {
      this->state.delay = std::chrono::milliseconds(
          std::strtol(command.c_str() + kDelay.size(), nullptr, 10));
    } else if (command == "heal") {
      this->state.drops_to_target = false;
      this->state.drops_from_target = false;
      this->state.delay = std::chrono::milliseconds(0);
    } else {
      std::cerr << "unknown command \"" << command << "\"\n";
    }
  }

  LinkState state;
  std::vector<std::weak_ptr<Relay>> relays;
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
