#ifndef SOURCE_CORE_ENTRY_OPERATOR_API_H_
#define SOURCE_CORE_ENTRY_OPERATOR_API_H_

#include <json/value.h>

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "Core/Common/result.h"
#include "Core/Control/control_change.h"
#include "Core/Entry/control_service.h"
#include "Core/Keys/key_record.h"
#include "Core/Transport/http_message.h"

namespace daisyroad {

struct EntryContext;
class DispatchService;
class FleetApi;
class ExplainService;
class PeerService;
class TaskService;
class WorkerDirectory;

// The HTTP interface of operators, see docs/api.md.
class OperatorApi {
 public:
  struct Services {
    PeerService* peers = nullptr;
    ControlService* control = nullptr;
    DispatchService* dispatch = nullptr;
    TaskService* tasks = nullptr;
    WorkerDirectory* directory = nullptr;
    FleetApi* fleet = nullptr;
    ExplainService* explain = nullptr;
  };

  // `bootstrap_key` is accepted while no operator's key has been given.
  OperatorApi(EntryContext* context,
              Services services,
              std::optional<KeyRecord> bootstrap_key);

  // Serves /v1/ops/ and below.
  void Handle(const HttpRequest& request, const HttpResponder& respond);

 private:
  using Handler = void (OperatorApi::*)(const HttpRequest& request,
                                        const std::string& rest,
                                        const HttpResponder& respond);

  // Name of the operator whose key came with the request.
  Result<std::string> Authenticate(const HttpRequest& request) const;
  void Change(const HttpRequest& request,
              const ControlChange& change,
              std::uint64_t base_version,
              const Json::Value& extra,
              const HttpResponder& respond);

  // Bases the declaration on the version in force if the declaration has not
  // changed since `base`: instances that join or leave and keys that are given
  // make versions too, and are no reason to review the text again.
  void ApplyText(const HttpRequest& request,
                 const std::string& text,
                 std::uint64_t base,
                 const HttpResponder& respond);
  void ChangeText(const HttpRequest& request,
                  const std::string& text,
                  std::uint64_t base,
                  int retries,
                  const HttpResponder& respond);

  void Status(const HttpRequest&, const std::string&, const HttpResponder&);
  void Declaration(const HttpRequest&,
                   const std::string&,
                   const HttpResponder&);
  void Validate(const HttpRequest&, const std::string&, const HttpResponder&);
  void History(const HttpRequest&, const std::string&, const HttpResponder&);
  void Rollback(const HttpRequest&, const std::string&, const HttpResponder&);
  void Keys(const HttpRequest&, const std::string&, const HttpResponder&);
  void Zones(const HttpRequest&, const std::string&, const HttpResponder&);
  void Task(const HttpRequest&, const std::string&, const HttpResponder&);
  void Explain(const HttpRequest&, const std::string&, const HttpResponder&);
  void Tail(const HttpRequest&, const std::string&, const HttpResponder&);

  void GiveKey(const HttpRequest& request, const HttpResponder& respond);
  void PollTail(std::uint64_t after,
                MonotonicTime until,
                const HttpResponder& respond);
  Json::Value InstancesStatus() const;
  Json::Value ZonesStatus() const;
  Json::Value PoolsStatus() const;
  Json::Value TeamsStatus() const;

  EntryContext* context;
  Services services;
  std::optional<KeyRecord> bootstrap;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_ENTRY_OPERATOR_API_H_
