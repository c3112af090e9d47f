#include "Load/worker_fleet.h"

#include "Core/Common/json.h"
#include "Load/blocking_http.h"

namespace daisyroad {
namespace {

WallTime FromUnixMilliseconds(std::int64_t milliseconds) {
  return WallTime(Milliseconds(milliseconds));
}

StartRecord ParseStartRecord(const Json::Value& item,
                             const ListedInstance& worker,
                             WallTime now) {
  StartRecord record;
  record.task = item["task"].asString();
  record.team = TeamName(item["team"].asString());
  record.echo = item["echo"].asString();
  record.worker = worker.name;
  record.zone = worker.zone;
  record.pool = worker.initial_pool;
  record.started = FromUnixMilliseconds(item["started_ms"].asInt64());
  const std::int64_t ended = item["ended_ms"].asInt64();
  record.ended = ended == 0 ? now : FromUnixMilliseconds(ended);
  record.resumed = item["resumed"].asBool();
  return record;
}

}  // namespace

Result<std::vector<ListedInstance>> FetchWorkers(BlockingHttp* http,
                                                 const std::string& address) {
  const Result<Json::Value> list =
      http->Call("GET", "http://" + address + "/v1/health/service/worker",
                 Json::Value(), "");
  if (!list.ok()) {
    return list.error();
  }
  std::vector<ListedInstance> fleet;
  for (const Json::Value& item : list.value()) {
    const Json::Value& service = item["Service"];
    ListedInstance worker;
    worker.name = WorkerName(service["ID"].asString());
    worker.address = service["Address"].asString() + ":" +
                     std::to_string(service["Port"].asInt());
    worker.zone = ZoneName(service["Meta"]["zone"].asString());
    worker.rack = RackName(service["Meta"]["rack"].asString());
    worker.initial_pool = PoolName(service["Meta"]["pool"].asString());
    fleet.push_back(std::move(worker));
  }
  return fleet;
}

Result<std::vector<StartRecord>> FetchStartRecords(
    BlockingHttp* http,
    const std::vector<ListedInstance>& fleet) {
  std::vector<StartRecord> starts;
  for (const ListedInstance& worker : fleet) {
    const Result<Json::Value> list =
        http->Call("GET", "http://" + worker.address + "/standin/starts",
                   Json::Value(), "");
    if (!list.ok()) {
      return list.error();
    }
    const WallTime now = std::chrono::system_clock::now();
    for (const Json::Value& item : list.value()) {
      starts.push_back(ParseStartRecord(item, worker, now));
    }
  }
  return starts;
}

}  // namespace daisyroad
