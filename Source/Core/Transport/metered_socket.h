#ifndef SOURCE_CORE_TRANSPORT_METERED_SOCKET_H_
#define SOURCE_CORE_TRANSPORT_METERED_SOCKET_H_

#include <sys/socket.h>

#include <array>
#include <asio/associated_executor.hpp>
#include <asio/bind_executor.hpp>
#include <asio/buffer.hpp>
#include <asio/execution_context.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <atomic>
#include <memory>
#include <string>
#include <utility>

#include "Core/Transport/client_guard.h"

namespace daisyroad {

// The guard of the connections of one io_context.
class GuardService : public asio::execution_context::service {
 public:
  using key_type = GuardService;
  static inline asio::execution_context::id id;

  explicit GuardService(asio::execution_context& context)
      : asio::execution_context::service(context) {}
  GuardService(asio::execution_context& context,
               std::shared_ptr<ClientGuard> guard,
               bool is_trusted)
      : asio::execution_context::service(context),
        guard(std::move(guard)),
        is_trusted(is_trusted) {}

  std::shared_ptr<ClientGuard> guard;
  bool is_trusted = false;
  std::atomic<int> refused_streams = 0;  // streams that are read to their end

 private:
  void shutdown() override {}
};

// Reads and drops what a client sends after it was refused, since a connection
// that is closed with unread bytes is reset, and the response is lost.
class RefusedStream : public std::enable_shared_from_this<RefusedStream> {
 public:
  RefusedStream(asio::ip::tcp::socket socket, GuardService* service)
      : socket(std::move(socket)),
        timer(this->socket.get_executor()),
        service(service) {
    ++this->service->refused_streams;
  }
  ~RefusedStream() { --this->service->refused_streams; }
  RefusedStream(const RefusedStream&) = delete;
  RefusedStream& operator=(const RefusedStream&) = delete;

  void Start() {
    this->timer.expires_after(kMaxTime);
    this->timer.async_wait(
        [self = this->shared_from_this()](const asio::error_code&) {
          asio::error_code ignored;
          self->socket.close(ignored);
        });
    this->Read();
  }

  static constexpr int kMaxStreams = 16;

 private:
  static constexpr std::chrono::seconds kMaxTime{2};

  void Read() {
    this->socket.async_read_some(
        asio::buffer(this->dropped),
        [self = this->shared_from_this()](const asio::error_code& error,
                                          std::size_t) {
          if (error) {
            self->timer.cancel();
          } else {
            self->Read();
          }
        });
  }

  asio::ip::tcp::socket socket;
  asio::steady_timer timer;
  GuardService* service;
  std::array<char, 4096> dropped;
};

// A connection of a server that charges what it receives and sends. Requires
// that requests of one connection are answered one after the other.
class MeteredSocket : public asio::ip::tcp::socket {
 public:
  using Base = asio::ip::tcp::socket;

  explicit MeteredSocket(asio::io_context& context)
      : Base(context), service(&asio::use_service<GuardService>(context)) {}
  MeteredSocket(MeteredSocket&&) = default;
  MeteredSocket& operator=(MeteredSocket&&) = delete;
  MeteredSocket(const MeteredSocket&) = delete;
  MeteredSocket& operator=(const MeteredSocket&) = delete;
  ~MeteredSocket() {
    if (this->client) {
      this->client->Close();
    }
  }

  MeteredSocket& lowest_layer() { return *this; }

  // Does not throw if the peer has reset the connection: the acceptor would
  // never release its place.
  asio::ip::tcp::endpoint remote_endpoint() const {
    asio::error_code ignored;
    return this->Base::remote_endpoint(ignored);
  }

  // The client whose bytes are being parsed on this thread, or null.
  static ClientGuard::Client*& Parsed() {
    static thread_local ClientGuard::Client* parsed = nullptr;
    return parsed;
  }

  template <typename Buffers, typename Handler>
  void async_read_some(const Buffers& buffers, Handler&& handler) {
    this->Open();
    this->client->AwaitRequest();
    this->Base::async_read_some(
        buffers, this->Bind(std::forward<Handler>(handler),
                            [](ClientGuard::Client* client,
                               asio::error_code* error, std::size_t* size) {
                              if (!*error && !client->Receive(*size)) {
                                *error = asio::error::connection_aborted;
                                *size = 0;
                              }
                            }));
  }

  template <typename Buffers, typename Handler>
  void async_write_some(const Buffers& buffers, Handler&& handler) {
    this->Open();
    this->client->Send(asio::buffer_size(buffers));
    this->Base::async_write_some(
        buffers, this->Bind(std::forward<Handler>(handler),
                            [](ClientGuard::Client* client, asio::error_code*,
                               std::size_t*) { client->Send(0); }));
  }

  void shutdown(shutdown_type what, asio::error_code& error) {
    if (this->client && this->client->is_refused()) {
      if (!this->client->is_sending()) {
        const std::string response = RefusalResponse();
        ::send(this->native_handle(), response.data(), response.size(),
               MSG_DONTWAIT | MSG_NOSIGNAL);
      }
      what = shutdown_send;
    }
    this->Base::shutdown(what, error);
  }

  void close() {
    const bool is_refused = this->client && this->client->is_refused();
    if (this->client) {
      this->client->Close();
    }
    if (is_refused &&
        this->service->refused_streams < RefusedStream::kMaxStreams) {
      std::make_shared<RefusedStream>(std::move(static_cast<Base&>(*this)),
                                      this->service)
          ->Start();
    } else {
      this->Base::close();
    }
  }

 private:
  static std::string RefusalResponse() {
    const std::string body =
        R"({"status":413,"title":"body too large","outcome":"not_run"})"
        "\n";
    return "HTTP/1.1 413 Content Too Large\r\nContent-Type: "
           "application/problem+json\r\nConnection: close\r\n"
           "Content-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
  }

  void Open() {
    if (!this->client) {
      asio::error_code error;
      const asio::ip::tcp::endpoint peer = this->Base::remote_endpoint(error);
      this->client = this->service->guard->Open(
          this->native_handle(), error ? "" : peer.address().to_string(),
          this->service->is_trusted);
    }
  }

  // Runs `first` before the handler, on the executor of the handler.
  template <typename Handler, typename First>
  auto Bind(Handler&& handler, First first) {
    const typename asio::associated_executor<std::decay_t<Handler>,
                                             executor_type>::type executor =
        asio::get_associated_executor(handler, this->get_executor());
    return asio::bind_executor(
        executor,
        [client = this->client.get(), first,
         handler = std::decay_t<Handler>(std::forward<Handler>(handler))](
            asio::error_code error, std::size_t size) mutable {
          first(client, &error, &size);
          ClientGuard::Client*& parsed = Parsed();
          ClientGuard::Client* const outer = parsed;
          parsed = client;
          handler(error, size);
          parsed = outer;
        });
  }

  GuardService* service;
  std::unique_ptr<ClientGuard::Client> client;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_TRANSPORT_METERED_SOCKET_H_
