#include "Core/Platform/http_store_client.h"

#include <utility>

#include "Core/Common/json.h"
#include "Core/Platform/base64.h"
#include "Core/Transport/http_client.h"

namespace daisyroad {
namespace {

Error WithStepAndPeer(const Error& cause,
                      const std::string& step,
                      const std::string& peer) {
  Error error = cause;
  error.step = step;
  error.peer = peer;
  return error;
}

Result<std::vector<StoreEntry>> ReadEntries(const HttpResponse& response,
                                            const std::string& step,
                                            const std::string& peer) {
  if (response.status == 404) {
    return std::vector<StoreEntry>();
  }
  if (response.status != 200) {
    return Error{Errc::kTimeout, step, peer,
                 "status " + std::to_string(response.status)};
  }
  const Result<Json::Value> parsed = ParseJson(response.body);
  if (!parsed.ok() || !parsed.value().isArray()) {
    return Error{Errc::kProtocol, step, peer,
                 "the response is not a JSON array"};
  }
  std::vector<StoreEntry> entries;
  for (const Json::Value& item : parsed.value()) {
    const Result<std::string> key = JsonString(item, "Key");
    const Result<std::int64_t> version = JsonInt(item, "ModifyIndex");
    if (!key.ok() || !version.ok()) {
      return Error{Errc::kProtocol, step, peer,
                   "entry without Key or ModifyIndex"};
    }
    std::string value;
    if (item["Value"].isString() &&
        !DecodeBase64(item["Value"].asString(), &value)) {
      return Error{Errc::kProtocol, step, peer, "the value is not Base64"};
    }
    entries.push_back(StoreEntry{key.value(), std::move(value),
                                 static_cast<std::uint64_t>(version.value())});
  }
  return entries;
}

}  // namespace

HttpStoreClient::HttpStoreClient(HttpClient* http, Options options)
    : http(http), options(std::move(options)) {}

void HttpStoreClient::Get(const std::string& key, EntryCallback callback) {
  this->FetchEntry(this->MakeRequest("GET", key, "?consistent=true"),
                   "store.get", std::move(callback));
}

void HttpStoreClient::List(const std::string& prefix, ListCallback callback) {
  const std::string peer = this->options.address;
  this->http->Send(
      this->MakeRequest("GET", prefix, "?recurse=true&consistent=true"),
      [callback = std::move(callback),
       peer](const Result<HttpResponse>& response) {
        if (!response.ok()) {
          callback(WithStepAndPeer(response.error(), "store.list", peer));
          return;
        }
        callback(ReadEntries(response.value(), "store.list", peer));
      });
}

void HttpStoreClient::CompareAndSwap(const std::string& key,
                                     const std::string& value,
                                     std::uint64_t expected,
                                     WriteCallback callback) {
  HttpClientRequest request =
      this->MakeRequest("PUT", key, "?cas=" + std::to_string(expected));
  request.body = value;
  this->SendWrite(request, "store.cas", std::move(callback));
}

void HttpStoreClient::CompareAndDelete(const std::string& key,
                                       std::uint64_t expected,
                                       WriteCallback callback) {
  this->SendWrite(
      this->MakeRequest("DELETE", key, "?cas=" + std::to_string(expected)),
      "store.delete", std::move(callback));
}

void HttpStoreClient::Watch(const std::string& key,
                            std::uint64_t known,
                            Milliseconds wait,
                            EntryCallback callback) {
  HttpClientRequest request =
      this->MakeRequest("GET", key,
                        "?index=" + std::to_string(known) +
                            "&wait=" + std::to_string(wait.count()) + "ms");
  request.timeout = wait + this->options.timeout;
  this->FetchEntry(request, "store.watch", std::move(callback));
}

HttpClientRequest HttpStoreClient::MakeRequest(const std::string& method,
                                               const std::string& key,
                                               const std::string& query) {
  ++this->call_count;
  HttpClientRequest request;
  request.method = method;
  request.url = "http://" + this->options.address + "/v1/kv/" + key + query;
  request.headers["X-Zone"] = this->options.zone;
  request.timeout = this->options.timeout;
  request.traffic = "store";
  return request;
}

void HttpStoreClient::FetchEntry(const HttpClientRequest& request,
                                 const std::string& step,
                                 EntryCallback callback) {
  const std::string peer = this->options.address;
  this->http->Send(request, [callback = std::move(callback), step,
                             peer](const Result<HttpResponse>& response) {
    if (!response.ok()) {
      callback(WithStepAndPeer(response.error(), step, peer));
      return;
    }
    Result<std::vector<StoreEntry>> entries =
        ReadEntries(response.value(), step, peer);
    if (!entries.ok()) {
      callback(entries.error());
      return;
    }
    std::optional<StoreEntry> entry;
    if (!entries.value().empty()) {
      entry = std::move(entries.value().front());
    }
    callback(std::move(entry));
  });
}

void HttpStoreClient::SendWrite(const HttpClientRequest& request,
                                const std::string& step,
                                WriteCallback callback) {
  const std::string peer = this->options.address;
  this->http->Send(request, [callback = std::move(callback), step,
                             peer](const Result<HttpResponse>& response) {
    if (!response.ok()) {
      callback(WithStepAndPeer(response.error(), step, peer));
      return;
    }
    const std::string& body = response.value().body;
    if (response.value().status == 200 && body.rfind("true", 0) == 0) {
      callback(true);
    } else if (response.value().status == 200 && body.rfind("false", 0) == 0) {
      callback(false);
    } else {
      callback(Error{Errc::kTimeout, step, peer,
                     "status " + std::to_string(response.value().status)});
    }
  });
}

}  // namespace daisyroad
