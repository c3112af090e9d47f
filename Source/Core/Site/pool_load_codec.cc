#include "Core/Site/pool_load_codec.h"

#include <string>

namespace daisyroad {

Json::Value ToJson(const PoolLoad& load) {
  Json::Value json;
  json["capacity"] = Json::Int64(load.capacity);
  json["used"] = Json::Int64(load.used);
  json["waiting"] = Json::Int64(load.waiting);
  json["needed"] = Json::Int64(load.needed);
  json["services"] = Json::Int64(load.services);
  json["usable"] = load.usable_workers;
  json["workers"] = Json::Value(Json::objectValue);
  for (const std::pair<const WorkerName, PoolLoad::Worker>& worker :
       load.workers) {
    Json::Value& row = json["workers"][worker.first.str()];
    row.append(worker.second.runs);
    row.append(worker.second.service_runs);
    row.append(worker.second.is_vacating);
  }
  return json;
}

PoolLoad ParsePoolLoad(const Json::Value& json) {
  PoolLoad load;
  load.capacity = json["capacity"].asInt64();
  load.used = json["used"].asInt64();
  load.waiting = json["waiting"].asInt64();
  load.needed = json["needed"].asInt64();
  load.services = json["services"].asInt64();
  load.usable_workers = json["usable"].asInt();
  for (const std::string& worker : json["workers"].getMemberNames()) {
    const Json::Value& row = json["workers"][worker];
    load.workers[WorkerName(worker)] =
        PoolLoad::Worker{row[0].asInt(), row[1].asInt(), row[2].asBool()};
  }
  return load;
}

}  // namespace daisyroad
