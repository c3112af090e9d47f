#ifndef SOURCE_CORE_PLATFORM_HTTP_STORE_CLIENT_H_
#define SOURCE_CORE_PLATFORM_HTTP_STORE_CLIENT_H_

#include <string>

#include "Core/Platform/store_client.h"

namespace daisyroad {

class HttpClient;
struct HttpClientRequest;

// Client of a store with the Consul KV HTTP API: GET, PUT and DELETE on
// /v1/kv/KEY, conditional writes with `cas`, blocking queries with `index` and
// `wait`.
class HttpStoreClient : public StoreClient {
 public:
  struct Options {
    std::string address;  // host:port
    std::string zone;     // sent as X-Zone, for the platform's own accounting
    Milliseconds timeout{1000};
  };

  // `http` must outlive this object.
  HttpStoreClient(HttpClient* http, Options options);

  void Get(const std::string& key, EntryCallback callback) override;
  void List(const std::string& prefix, ListCallback callback) override;
  void CompareAndSwap(const std::string& key,
                      const std::string& value,
                      std::uint64_t expected,
                      WriteCallback callback) override;
  void CompareAndDelete(const std::string& key,
                        std::uint64_t expected,
                        WriteCallback callback) override;
  void Watch(const std::string& key,
             std::uint64_t known,
             Milliseconds wait,
             EntryCallback callback) override;

  // Number of requests sent so far, including watches in progress.
  std::uint64_t calls() const { return this->call_count; }

 private:
  HttpClientRequest MakeRequest(const std::string& method,
                                const std::string& key,
                                const std::string& query);
  void FetchEntry(const HttpClientRequest& request,
                  const std::string& step,
                  EntryCallback callback);
  void SendWrite(const HttpClientRequest& request,
                 const std::string& step,
                 WriteCallback callback);

  HttpClient* http;
  Options options;
  std::uint64_t call_count = 0;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_PLATFORM_HTTP_STORE_CLIENT_H_
