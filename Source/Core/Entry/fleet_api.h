#ifndef SOURCE_CORE_ENTRY_FLEET_API_H_
#define SOURCE_CORE_ENTRY_FLEET_API_H_

#include <json/value.h>

#include <functional>
#include <string>

#include "Core/Common/result.h"
#include "Core/Common/time.h"
#include "Core/Declaration/declaration.h"
#include "Core/Transport/http_message.h"

namespace daisyroad {

class FleetService;
class WorkerDirectory;

// HTTP handlers of the operator API for pools, moves, maintenance and capacity,
// see docs/api.md. OperatorApi has already authenticated the requests.
class FleetApi {
 public:
  using DeclarationSource = std::function<const Declaration&()>;

  FleetApi(FleetService* fleet_service,
           const WorkerDirectory* worker_directory,
           DeclarationSource declaration_source);

  // `path` is the part after /v1/ops/. Returns false if no handler matches it.
  bool Handle(const HttpRequest& request,
              const std::string& path,
              const std::string& author,
              const HttpResponder& respond);

 private:
  void Pools(const HttpResponder& respond);
  void Move(const HttpRequest& request, const HttpResponder& respond);
  void Drain(const std::string& worker, const HttpResponder& respond);
  void Pause(bool paused,
             const std::string& author,
             const HttpResponder& respond);
  Json::Value Maintenance() const;
  void Plan(const HttpRequest& request, const HttpResponder& respond) const;
  Json::Value PoolsJson(const Json::Value& running) const;
  Json::Value InstanceJson(const WorkerName& worker,
                           const Json::Value& running) const;

  FleetService* fleet;
  const WorkerDirectory* directory;
  DeclarationSource declaration;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_ENTRY_FLEET_API_H_
