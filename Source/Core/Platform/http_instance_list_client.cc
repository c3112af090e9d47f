#include "Core/Platform/http_instance_list_client.h"

#include <utility>

#include "Core/Common/json.h"
#include "Core/Transport/http_client.h"

namespace daisyroad {
namespace {

constexpr char kStep[] = "instances.fetch";

Result<std::vector<ListedInstance>> ReadInstances(const HttpResponse& response,
                                                  const std::string& peer) {
  const Result<Json::Value> parsed = ParseJson(response.body);
  if (response.status != 200 || !parsed.ok() || !parsed.value().isArray()) {
    return Error{
        Errc::kProtocol, kStep, peer,
        "status " + std::to_string(response.status) + " or not a JSON array"};
  }
  std::vector<ListedInstance> instances;
  for (const Json::Value& item : parsed.value()) {
    if (!item.isObject() || !item["Service"].isObject() ||
        !item["Service"]["Meta"].isObject()) {
      return Error{Errc::kProtocol, kStep, peer, "entry without Service.Meta"};
    }
    const Json::Value& service = item["Service"];
    const Json::Value& meta = service["Meta"];
    const Result<std::string> name = JsonString(service, "ID");
    const Result<std::string> address = JsonString(service, "Address");
    const Result<std::int64_t> port = JsonInt(service, "Port");
    const Result<std::string> zone = JsonString(meta, "zone");
    if (!name.ok() || !address.ok() || !port.ok() || !zone.ok()) {
      return Error{Errc::kProtocol, kStep, peer,
                   "entry lacks ID, Address, Port or Meta.zone"};
    }
    ListedInstance instance;
    instance.name = WorkerName(name.value());
    instance.address = address.value() + ":" + std::to_string(port.value());
    instance.zone = ZoneName(zone.value());
    instance.rack = RackName(meta["rack"].asString());
    instance.initial_pool = PoolName(meta["pool"].asString());
    instance.leaving = meta["state"].asString() == "leaving";
    instances.push_back(std::move(instance));
  }
  return instances;
}

}  // namespace

HttpInstanceListClient::HttpInstanceListClient(HttpClient* http,
                                               std::string address,
                                               std::string zone,
                                               Milliseconds timeout)
    : http(http),
      address(std::move(address)),
      zone(std::move(zone)),
      timeout(timeout) {}

void HttpInstanceListClient::Fetch(Callback callback) {
  HttpClientRequest request;
  request.url = "http://" + this->address + "/v1/health/service/worker";
  request.headers["X-Zone"] = this->zone;
  request.timeout = this->timeout;
  request.traffic = "instance_list";
  const std::string peer = this->address;
  this->http->Send(request, [callback = std::move(callback),
                             peer](const Result<HttpResponse>& response) {
    if (!response.ok()) {
      Error error = response.error();
      error.step = kStep;
      callback(error);
      return;
    }
    callback(ReadInstances(response.value(), peer));
  });
}

}  // namespace daisyroad
