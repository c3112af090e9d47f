#include "StandIns/Instances/instance_list_state.h"

namespace daisyroad {

void InstanceListState::Register(const Json::Value& service,
                                 MonotonicTime now) {
  this->services[service["ID"].asString()] = service;
  this->Record(now);
}

void InstanceListState::Deregister(const std::string& id, MonotonicTime now) {
  this->services.erase(id);
  this->Record(now);
}

Json::Value InstanceListState::List(MonotonicTime now) {
  while (this->history.size() > 1 &&
         this->history[1].first + this->lag <= now) {
    this->history.pop_front();
  }
  Json::Value list(Json::arrayValue);
  if (this->history.empty() || this->history.front().first + this->lag > now) {
    return list;
  }
  for (const std::pair<const std::string, Json::Value>& service :
       this->history.front().second) {
    Json::Value item;
    item["Service"] = service.second;
    list.append(item);
  }
  return list;
}

void InstanceListState::Record(MonotonicTime now) {
  this->history.emplace_back(now, this->services);
}

}  // namespace daisyroad
