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

// HTTP API for operators, see docs/api.md.
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

  // `bootstrap_key` is accepted while there is no valid operator key.
  OperatorApi(EntryContext* context,
              Services services,
              std::optional<KeyRecord> bootstrap_key);

  // Serves all paths under /v1/ops/.
  void Handle(const HttpRequest& request, const HttpResponder& respond);

 private:
  using Handler = void (OperatorApi::*)(const HttpRequest& request,
                                        const std::string& rest,
                                        const HttpResponder& respond);

  // Returns the name of the operator whose key the request carries.
  Result<std::string> Authenticate(const HttpRequest& request) const;
  void SubmitChange(const HttpRequest& request,
                    const ControlChange& change,
                    std::uint64_t base_version,
                    const Json::Value& extra_fields,
                    const HttpResponder& respond);

  // Rebases the declaration onto the version in force if the declaration has
  // not changed since `base`. Roster and key changes also create versions, but
  // they do not require the operator to review the text again.
  void ApplyDeclarationText(const HttpRequest& request,
                            const std::string& text,
                            std::uint64_t base,
                            const HttpResponder& respond);
  void SubmitDeclaration(const HttpRequest& request,
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

  void IssueKey(const HttpRequest& request, const HttpResponder& respond);
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
