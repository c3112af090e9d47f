#include "Core/Site/remembered_workers.h"

#include "Core/Common/json.h"

namespace daisyroad {

std::string WriteRememberedWorkers(const std::vector<WorkerListing>& workers) {
  Json::Value json(Json::objectValue);
  for (const WorkerListing& worker : workers) {
    json[worker.name.str()]["address"] = worker.address;
    json[worker.name.str()]["pool"] = worker.pool.str();
  }
  return WriteJson(json);
}

Result<std::vector<WorkerListing>> ParseRememberedWorkers(
    const std::string& text) {
  const Result<Json::Value> json = ParseJson(text);
  const Error malformed{Errc::kProtocol, "workers.parse", "",
                        "not a table of workers"};
  if (!json.ok() || !json.value().isObject()) {
    return malformed;
  }
  std::vector<WorkerListing> workers;
  for (const std::string& name : json.value().getMemberNames()) {
    const Json::Value& row = json.value()[name];
    if (!row.isObject() || !row["address"].isString() ||
        !row["pool"].isString()) {
      return malformed;
    }
    WorkerListing worker;
    worker.name = WorkerName(name);
    worker.address = row["address"].asString();
    worker.pool = PoolName(row["pool"].asString());
    workers.push_back(worker);
  }
  return workers;
}

}  // namespace daisyroad
