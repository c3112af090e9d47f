#include "Load/blocking_http.h"

#include <future>
#include <memory>

#include "Core/Common/json.h"

namespace daisyroad {
namespace {

// Long because an operator call returns only after the zones have acknowledged
// the change.
constexpr Milliseconds kTimeout{15000};

}  // namespace

BlockingHttp::BlockingHttp()
    : http([](const std::function<void()>& function) { function(); }) {}

Result<HttpResponse> BlockingHttp::Send(const HttpClientRequest& request) {
  const std::shared_ptr<std::promise<Result<HttpResponse>>> promise =
      std::make_shared<std::promise<Result<HttpResponse>>>();
  std::future<Result<HttpResponse>> future = promise->get_future();
  this->http.Send(request, [promise](const Result<HttpResponse>& response) {
    promise->set_value(response);
  });
  return future.get();
}

Result<Json::Value> BlockingHttp::Call(const std::string& method,
                                       const std::string& url,
                                       const Json::Value& body,
                                       const std::string& bearer) {
  HttpClientRequest request;
  request.method = method;
  request.url = url;
  request.timeout = kTimeout;
  if (!bearer.empty()) {
    request.headers["Authorization"] = "Bearer " + bearer;
  }
  if (!body.isNull()) {
    request.body = WriteJson(body);
  }
  const Result<HttpResponse> response = this->Send(request);
  if (!response.ok()) {
    return response.error();
  }
  if (response.value().status / 100 != 2) {
    return Error{Errc::kProtocol, "http." + method, url,
                 "status " + std::to_string(response.value().status) + ": " +
                     response.value().body};
  }
  return ParseJson(response.value().body);
}

}  // namespace daisyroad
