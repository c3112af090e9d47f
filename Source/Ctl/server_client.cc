#include "Ctl/server_client.h"

#include <algorithm>
#include <functional>
#include <future>
#include <utility>

namespace daisyroad {
namespace {

constexpr Milliseconds kConnectTimeout{1000};

bool IsUnreserved(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '-' || c == '.' || c == '_' || c == '~';
}

}  // namespace

ServerClient::ServerClient(const CtlOptions& options)
    : servers(options.servers),
      key(options.key),
      timeout(options.timeout),
      http([](const std::function<void()>& function) { function(); }) {}

Result<HttpResponse> ServerClient::Send(const ServerCall& call) {
  std::string failures;
  for (std::size_t i = 0; i < this->servers.size(); ++i) {
    const std::size_t index =
        (this->preferred_server + i) % this->servers.size();
    Result<HttpResponse> response = this->SendTo(this->servers[index], call);
    if (response.ok()) {
      this->preferred_server = index;
      return response;
    }
    if (response.error().code != Errc::kUnavailable) {
      this->preferred_server = (index + 1) % this->servers.size();
      return response;
    }
    failures += (failures.empty() ? "" : "; ") + this->servers[index] + ": " +
                response.error().detail;
  }
  return Error{Errc::kUnavailable, "connect", "", failures};
}

Result<HttpResponse> ServerClient::SendTo(const std::string& server,
                                          const ServerCall& call) {
  HttpClientRequest request;
  request.method = call.method;
  request.url = "http://" + server + call.path;
  request.headers = call.headers;
  if (!this->key.empty()) {
    request.headers["Authorization"] = "Bearer " + this->key;
  }
  if (!call.body.empty()) {
    request.headers["Content-Type"] = "application/json";
  }
  request.body = call.body;
  request.connect_timeout = std::min(kConnectTimeout, this->timeout);
  request.timeout = this->timeout + call.server_wait;
  // The server may close a reused connection while a write is on its way, which
  // would leave the outcome unknown.
  request.fresh_connection = call.method != "GET";
  std::promise<Result<HttpResponse>> promise;
  std::future<Result<HttpResponse>> future = promise.get_future();
  this->http.Send(std::move(request),
                  [&promise](const Result<HttpResponse>& response) {
                    promise.set_value(response);
                  });
  return future.get();
}

std::string EscapeUrl(std::string_view text) {
  static constexpr char kHexDigits[] = "0123456789ABCDEF";
  std::string escaped;
  for (const char c : text) {
    const unsigned char byte = static_cast<unsigned char>(c);
    if (IsUnreserved(c)) {
      escaped.push_back(c);
    } else {
      escaped.push_back('%');
      escaped.push_back(kHexDigits[byte >> 4]);
      escaped.push_back(kHexDigits[byte & 15]);
    }
  }
  return escaped;
}

}  // namespace daisyroad
