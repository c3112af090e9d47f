#ifndef SOURCE_CORE_PLATFORM_HTTP_INSTANCE_LIST_CLIENT_H_
#define SOURCE_CORE_PLATFORM_HTTP_INSTANCE_LIST_CLIENT_H_

#include <string>

#include "Core/Common/time.h"
#include "Core/Platform/instance_list_client.h"

namespace daisyroad {

class HttpClient;

// Client of an instance list with the Consul health API:
// GET /v1/health/service/worker. Zone, rack, pool and state are read from
// Service.Meta.
class HttpInstanceListClient : public InstanceListClient {
 public:
  // `http` must outlive this object; `address` is host:port.
  HttpInstanceListClient(HttpClient* http,
                         std::string address,
                         std::string zone,
                         Milliseconds timeout);

  void Fetch(Callback callback) override;

 private:
  HttpClient* http;
  std::string address;
  std::string zone;
  Milliseconds timeout;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_PLATFORM_HTTP_INSTANCE_LIST_CLIENT_H_
