#include "Core/Site/persisted_workers.h"

#include "Core/Common/json.h"

namespace daisyroad {

std::string SerializePersistedWorkers(
    const std::vector<PersistedWorker>& workers) {
  Json::Value json(Json::objectValue);
  for (const PersistedWorker& worker : workers) {
    Json::Value& row = json[worker.listing.name.str()];
    row["address"] = worker.listing.address;
    row["pool"] = worker.listing.pool.str();
    row["machine"] = worker.machine.str();
  }
  return WriteJson(json);
}

Result<std::vector<PersistedWorker>> ParsePersistedWorkers(
    const std::string& text) {
  const Result<Json::Value> json = ParseJson(text);
  const Error malformed{Errc::kProtocol, "workers.parse", "",
                        "the record is not a JSON object of workers by name"};
  if (!json.ok() || !json.value().isObject()) {
    return malformed;
  }
  std::vector<PersistedWorker> workers;
  for (const std::string& name : json.value().getMemberNames()) {
    const Json::Value& row = json.value()[name];
    if (!row.isObject() || !row["address"].isString() ||
        !row["pool"].isString() || !row["machine"].isString()) {
      return malformed;
    }
    PersistedWorker worker;
    worker.listing.name = WorkerName(name);
    worker.listing.address = row["address"].asString();
    worker.listing.pool = PoolName(row["pool"].asString());
    worker.machine = MachineName(row["machine"].asString());
    workers.push_back(worker);
  }
  return workers;
}

}  // namespace daisyroad
