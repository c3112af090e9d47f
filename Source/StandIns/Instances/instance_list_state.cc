#include "StandIns/Instances/instance_list_state.h"

namespace daisyroad {

void InstanceListState::Register(const Json::Value& service,
                                 MonotonicTime now) {
  this->services[service["ID"].asString()] = service;
  this->AppendSnapshot(now);
}

void InstanceListState::Deregister(const std::string& id, MonotonicTime now) {
  this->services.erase(id);
  this->AppendSnapshot(now);
}

Json::Value InstanceListState::List(MonotonicTime now) {
  while (this->snapshots.size() > 1 &&
         this->snapshots[1].first + this->lag <= now) {
    this->snapshots.pop_front();
  }
  Json::Value list(Json::arrayValue);
  if (this->snapshots.empty() ||
      this->snapshots.front().first + this->lag > now) {
    return list;
  }
  for (const std::pair<const std::string, Json::Value>& service :
       this->snapshots.front().second) {
    Json::Value item;
    item["Service"] = service.second;
    list.append(item);
  }
  return list;
}

void InstanceListState::AppendSnapshot(MonotonicTime now) {
  this->snapshots.emplace_back(now, this->services);
}

}  // namespace daisyroad
