#include "Core/Transport/http_server.h"

#include <algorithm>
#include <atomic>
#include <cctype>
#include <future>
#include <memory>
#include <restinio/all.hpp>
#include <thread>
#include <utility>
#include <vector>

#include "Core/Transport/metered_socket.h"

namespace daisyroad {
namespace {

struct ParserMethods : public restinio::default_http_methods_t {};

int RefuseOnError(int result) {
  if (result != 0 && MeteredSocket::Parsed() != nullptr) {
    MeteredSocket::Parsed()->Refuse();
  }
  return result;
}

}  // namespace
}  // namespace daisyroad

namespace restinio::impl {

// Tells the connection's account where a request ends and which one is over the
// limit of the body. No record is kept of the chunks of a body: nothing reads
// them, and tiny chunks would take many times the memory of their bytes.
template <>
inline http_parser_settings
create_parser_settings<daisyroad::ParserMethods>() noexcept {
  http_parser_settings settings =
      create_parser_settings<restinio::default_http_methods_t>();
  settings.on_headers_complete = [](http_parser* parser) -> int {
    return daisyroad::RefuseOnError(restinio_headers_complete_cb(parser));
  };
  settings.on_body = [](http_parser* parser, const char* data,
                        std::size_t size) -> int {
    return daisyroad::RefuseOnError(restinio_body_cb(parser, data, size));
  };
  settings.on_chunk_header = [](http_parser*) -> int { return 0; };
  settings.on_message_complete = [](http_parser* parser) -> int {
    if (daisyroad::MeteredSocket::Parsed() != nullptr &&
        !daisyroad::MeteredSocket::Parsed()->Pass()) {
      return -1;
    }
    return restinio_message_complete_cb<restinio::default_http_methods_t>(
        parser);
  };
  return settings;
}

}  // namespace restinio::impl

namespace daisyroad {
namespace {

// Connections above the limit that are accepted while others are being closed.
constexpr std::size_t kAcceptReserve = 64;
constexpr std::chrono::seconds kTickInterval{1};

struct ServerTraits : public restinio::default_traits_t {
  using stream_socket_t = MeteredSocket;
  using http_methods_mapper_t = ParserMethods;
  using request_handler_t = std::function<restinio::request_handling_status_t(
      restinio::request_handle_t)>;
  static constexpr bool use_connection_count_limiter = true;
};

using Server = restinio::http_server_t<ServerTraits>;

struct ServerContext : asio::io_context {
  using asio::execution_context::shutdown;
};

// The objects that a connection depends on. Responders share ownership, because
// they may outlive the HttpServer.
struct ServerCore {
  ServerCore() = default;
  // Connections that the context holds refer to the server.
  ~ServerCore() { this->context.shutdown(); }
  ServerCore(const ServerCore&) = delete;
  ServerCore& operator=(const ServerCore&) = delete;

  ServerContext context;
  std::unique_ptr<Server> server;
};

void TickRepeatedly(const std::shared_ptr<asio::steady_timer>& timer,
                    const std::shared_ptr<ClientGuard>& guard) {
  timer->expires_after(kTickInterval);
  timer->async_wait([timer, guard](const asio::error_code& error) {
    if (!error) {
      guard->Tick();
      TickRepeatedly(timer, guard);
    }
  });
}

std::string LowerCase(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return text;
}

std::string MethodName(const restinio::http_method_id_t& method) {
  return method.c_str();
}

// Returns false if the query or the path is not valid percent-encoding.
bool ReadTarget(const restinio::request_t& source, HttpRequest* request) {
  try {
    request->path = restinio::utils::unescape_percent_encoding<
        restinio::utils::relaxed_unescape_traits>(source.header().path());
    const restinio::query_string_params_t parameters =
        restinio::parse_query<restinio::parse_query_traits::relaxed>(
            source.header().query());
    for (const restinio::query_string_params_t::parameters_container_t::
             value_type& parameter : parameters) {
      std::string& value = request->query[std::string(parameter.first)];
      value += (value.empty() ? "" : ",") + std::string(parameter.second);
    }
  } catch (const std::exception&) {
    return false;
  }
  return true;
}

HttpRequest ReadRequest(const restinio::request_t& source) {
  HttpRequest request;
  request.method = MethodName(source.header().method());
  source.header().for_each_field(
      [&request](const restinio::http_header_field_t& field) {
        request.headers[LowerCase(field.name())] = field.value();
      });
  request.body = source.body();
  request.peer = source.remote_endpoint().address().to_string() + ":" +
                 std::to_string(source.remote_endpoint().port());
  return request;
}

void SendResponse(const restinio::request_handle_t& request,
                  const HttpResponse& response) {
  restinio::response_builder_t<restinio::restinio_controlled_output_t> builder =
      request->create_response(restinio::http_status_line_t(
          restinio::http_status_code_t(
              static_cast<std::uint16_t>(response.status)),
          response.status < 400 ? "OK" : "Error"));
  for (const std::pair<const std::string, std::string>& header :
       response.headers) {
    builder.append_header(header.first, header.second);
  }
  builder.set_body(response.body);
  builder.done();
}

HttpResponse PlainResponse(int status, const std::string& text) {
  HttpResponse response;
  response.status = status;
  response.headers["content-type"] = "text/plain";
  response.body = text;
  return response;
}

restinio::request_handling_status_t Dispatch(
    const HttpHandler& handler,
    const std::shared_ptr<ServerCore>& core,
    const restinio::request_handle_t& source) {
  HttpRequest request = ReadRequest(*source);
  if (!ReadTarget(*source, &request)) {
    SendResponse(source, PlainResponse(400, "malformed request target\n"));
    return restinio::request_accepted();
  }
  const std::shared_ptr<std::atomic<bool>> answered =
      std::make_shared<std::atomic<bool>>(false);
  // Members are destroyed in reverse order, so the request goes before the
  // core.
  struct PendingRequest {
    std::shared_ptr<ServerCore> core;
    restinio::request_handle_t request;
  };
  const std::shared_ptr<PendingRequest> pending_request =
      std::make_shared<PendingRequest>(PendingRequest{core, source});
  handler(std::move(request),
          [pending_request, answered](const HttpResponse& response) {
            if (!answered->exchange(true)) {
              SendResponse(pending_request->request, response);
            }
          });
  return restinio::request_accepted();
}

}  // namespace

class HttpServer::Impl {
 public:
  std::shared_ptr<ServerCore> core;
  std::vector<std::thread> threads;
  std::uint16_t port = 0;
};

HttpServer::HttpServer() : impl(std::make_unique<Impl>()) {}

HttpServer::~HttpServer() {
  this->Stop();
}

Status HttpServer::Start(const HttpServerOptions& options,
                         HttpHandler handler) {
  const std::shared_ptr<const HttpHandler> shared_handler =
      std::make_shared<const HttpHandler>(std::move(handler));
  std::uint16_t* const bound_port = &this->impl->port;
  const std::shared_ptr<ServerCore> core = std::make_shared<ServerCore>();
  // Weak to avoid a cycle: the core owns the server, which owns this handler.
  const std::weak_ptr<ServerCore> weak_core = core;
  std::shared_ptr<ClientGuard> guard = options.clients;
  if (!guard) {
    CallerLimits limits;
    limits.connections = options.max_connections;
    limits.request_time = options.request_read_timeout;
    guard = std::make_shared<ClientGuard>(limits, nullptr);
  }
  const std::size_t max_connections =
      options.is_trusted
          ? options.max_connections
          : std::min(options.max_connections, guard->max_connections());
  asio::make_service<GuardService>(core->context, guard, options.is_trusted);
  try {
    core->server = std::make_unique<Server>(
        restinio::external_io_context(core->context),
        restinio::server_settings_t<ServerTraits>()
            .address(options.address)
            .port(options.port)
            .max_parallel_connections(max_connections + kAcceptReserve)
            .read_next_http_message_timelimit(options.request_read_timeout)
            .write_http_response_timelimit(options.write_timeout)
            .handle_request_timeout(options.handler_timeout)
            .incoming_http_msg_limits(
                restinio::incoming_http_msg_limits_t()
                    .max_url_size(4096)
                    .max_field_name_size(256)
                    .max_field_value_size(8192)
                    .max_field_count(100)
                    .max_body_size(options.max_body_bytes))
            .acceptor_post_bind_hook(
                [bound_port](asio::ip::tcp::acceptor& acceptor) {
                  *bound_port = acceptor.local_endpoint().port();
                })
            .request_handler([shared_handler, weak_core](
                                 const restinio::request_handle_t& request) {
              const std::shared_ptr<ServerCore> locked_core = weak_core.lock();
              return locked_core
                         ? Dispatch(*shared_handler, locked_core, request)
                         : restinio::request_rejected();
            }));
    core->server->open_sync();
  } catch (const std::exception& exception) {
    return Error{Errc::kUnavailable, "http.listen",
                 options.address + ":" + std::to_string(options.port),
                 exception.what()};
  }
  TickRepeatedly(std::make_shared<asio::steady_timer>(core->context), guard);
  this->impl->core = core;
  for (std::size_t i = 0; i < std::max<std::size_t>(options.threads, 1); ++i) {
    this->impl->threads.emplace_back([core]() { core->context.run(); });
  }
  return OkStatus();
}

std::uint16_t HttpServer::port() const {
  return this->impl->port;
}

void HttpServer::Stop() {
  if (!this->impl->core) {
    return;
  }
  std::promise<void> closed;
  this->impl->core->server->close_async(
      [&closed]() { closed.set_value(); },
      [&closed](const std::exception_ptr&) { closed.set_value(); });
  closed.get_future().wait();
  this->impl->core->context.stop();
  for (std::thread& thread : this->impl->threads) {
    thread.join();
  }
  this->impl->threads.clear();
  this->impl->core.reset();
}

}  // namespace daisyroad
