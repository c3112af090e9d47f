#ifndef SOURCE_STANDINS_INSTANCES_INSTANCE_LIST_STATE_H_
#define SOURCE_STANDINS_INSTANCES_INSTANCE_LIST_STATE_H_

#include <json/value.h>

#include <deque>
#include <map>
#include <string>
#include <utility>

#include "Core/Common/time.h"

namespace daisyroad {

// Instance list that shows the registered instances as they were `lag` ago.
class InstanceListState {
 public:
  explicit InstanceListState(Duration lag) : lag(lag) {}

  // `service` is the body of a Consul service registration.
  void Register(const Json::Value& service, MonotonicTime now);
  void Deregister(const std::string& id, MonotonicTime now);
  // Returns the response body of GET /v1/health/service/worker.
  Json::Value List(MonotonicTime now);

 private:
  void AppendSnapshot(MonotonicTime now);

  Duration lag;
  std::map<std::string, Json::Value> services;
  std::deque<std::pair<MonotonicTime, std::map<std::string, Json::Value>>>
      snapshots;
};

}  // namespace daisyroad

#endif  // SOURCE_STANDINS_INSTANCES_INSTANCE_LIST_STATE_H_
