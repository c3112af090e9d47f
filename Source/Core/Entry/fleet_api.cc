#include "Core/Entry/fleet_api.h"

#include <algorithm>
#include <charconv>
#include <utility>
#include <vector>

#include "Core/Capacity/buffer_planner.h"
#include "Core/Common/json.h"
#include "Core/Entry/fleet_plan.h"
#include "Core/Entry/fleet_service.h"
#include "Core/Entry/problem.h"
#include "Core/Entry/worker_directory.h"
#include "Core/Maintenance/maintenance_planner.h"

namespace daisyroad {
namespace {

constexpr std::chrono::hours kYear{24 * 365};
constexpr std::int64_t kMaxWhatIfRows = 64;
constexpr std::int64_t kMaxWhatIfChange = 1000;

HttpResponse JsonAnswer(const Json::Value& body) {
  HttpResponse response;
  response.headers["content-type"] = "application/json";
  response.body = WriteJson(body);
  return response;
}

HttpResponse ErrorAnswer(const Error& error) {
  if (error.code == Errc::kTimeout) {
    return Problem(503, RunOutcome::kUnknown, "outcome not known",
                   error.ToString());
  }
  return PlainProblem(HttpStatusOf(error), error.code.message(),
                      error.ToString());
}

HttpResponse MethodNotAllowed() {
  return PlainProblem(405, "method not allowed", "see docs/api.md");
}

double ToHours(Duration duration) {
  return std::chrono::duration<double, std::ratio<3600>>(duration).count();
}

// Parses "POOL:N,POOL:N"; the HTTP server joins repeated parameters with
// commas.
Result<PoolCounts> ParseWhatIf(const std::string& text,
                               const Declaration& declaration) {
  PoolCounts counts;
  std::size_t start = 0;
  while (start < text.size()) {
    const std::size_t end = std::min(text.find(',', start), text.size());
    const std::string item = text.substr(start, end - start);
    start = end + 1;
    const std::size_t colon = item.rfind(':');
    const PoolName pool(item.substr(0, colon));
    std::int64_t count = 0;
    const char* const last = item.data() + item.size();
    const bool is_number =
        colon != std::string::npos && colon + 1 < item.size() &&
        std::from_chars(item.data() + colon + 1, last, count).ptr == last;
    const Pool* const known = declaration.FindPool(pool);
    if (!is_number || std::abs(count) > kMaxWhatIfChange || known == nullptr ||
        known->spare) {
      return Error{Errc::kInvalidArgument, "plan.what_if", "",
                   "\"" + item +
                       "\" is not POOL:N with a pool that is not the spare "
                       "and N from -1000 to 1000"};
    }
    counts[pool] += count;
  }
  return counts;
}

Json::Value BuffersJson(const BufferPlan& plan, const CapacityInput& input) {
  PoolCounts members;
  for (const CapacityWorker& worker : input.workers) {
    ++members[worker.pool];
  }
  Json::Value list(Json::arrayValue);
  for (const SpareByZone::value_type& entry : plan.spare) {
    Json::Value item(Json::objectValue);
    item["zone"] = entry.first.str();
    item["spare"] = Json::Int64(entry.second);
    list.append(item);
  }
  for (const PoolCounts::value_type& entry : input.needed) {
    Json::Value item(Json::objectValue);
    item["pool"] = entry.first.str();
    item["needed"] = Json::Int64(entry.second);
    item["workers"] = Json::Int64(members[entry.first]);
    const auto separate = plan.separate.find(entry.first);
    item["spare_if_separate"] =
        Json::Int64(separate == plan.separate.end() ? 0 : separate->second);
    list.append(item);
  }
  return list;
}

Json::Value GainJson(const std::vector<WhatIfRow>& rows) {
  Json::Value list(Json::arrayValue);
  for (const WhatIfRow& row : rows) {
    Json::Value item(Json::objectValue);
    item["spare"] = Json::Int64(row.spare);
    item["worst_shortfall"] = Json::Int64(row.worst_shortfall);
    item["shortfall_hours_per_year"] = row.shortfall_hours_per_year;
    item["cost_hours_per_year"] = row.cost_hours_per_year;
    list.append(item);
  }
  return list;
}

Json::Value WavesJson(const MaintenancePlan& plan) {
  Json::Value waves(Json::arrayValue);
  for (const std::vector<WorkerName>& wave : plan.waves) {
    Json::Value names(Json::arrayValue);
    for (const WorkerName& worker : wave) {
      names.append(worker.str());
    }
    waves.append(names);
  }
  return waves;
}

}  // namespace

FleetApi::FleetApi(FleetService* fleet_service,
                   const WorkerDirectory* worker_directory,
                   DeclarationSource declaration_source)
    : fleet(fleet_service),
      directory(worker_directory),
      declaration(std::move(declaration_source)) {}

bool FleetApi::Handle(const HttpRequest& request,
                      const std::string& path,
                      const std::string& author,
                      const HttpResponder& respond) {
  static const std::string kInstances = "instances/";
  static const std::string kDrain = "/drain";
  const bool is_post = request.method == "POST";
  const bool is_get = request.method == "GET";
  const bool is_drain =
      path.rfind(kInstances, 0) == 0 &&
      path.size() > kInstances.size() + kDrain.size() &&
      path.compare(path.size() - kDrain.size(), kDrain.size(), kDrain) == 0;
  const bool is_pause = path == "maintenance/pause";
  if (path == "pools") {
    is_get ? this->Pools(respond) : respond(MethodNotAllowed());
  } else if (path == "moves") {
    is_post ? this->Move(request, respond) : respond(MethodNotAllowed());
  } else if (is_drain) {
    is_post ? this->Drain(
                  path.substr(kInstances.size(),
                              path.size() - kInstances.size() - kDrain.size()),
                  respond)
            : respond(MethodNotAllowed());
  } else if (is_pause || path == "maintenance/resume") {
    is_post ? this->Pause(is_pause, author, respond)
            : respond(MethodNotAllowed());
  } else if (path == "maintenance") {
    respond(is_get ? JsonAnswer(this->Maintenance()) : MethodNotAllowed());
  } else if (path == "plan") {
    is_get ? this->Plan(request, respond) : respond(MethodNotAllowed());
  } else {
    return false;
  }
  return true;
}

void FleetApi::Pools(const HttpResponder& respond) {
  this->fleet->FetchRunning([this, respond](const Json::Value& running) {
    respond(JsonAnswer(this->PoolsJson(running)));
  });
}

Json::Value FleetApi::PoolsJson(const Json::Value& running) const {
  Json::Value list(Json::arrayValue);
  for (const Pool& pool : this->declaration().pools) {
    Json::Value item(Json::objectValue);
    item["pool"] = pool.name.str();
    item["instances"] = Json::Value(Json::arrayValue);
    for (const WorkerInfo* const worker : this->directory->InPool(pool.name)) {
      item["instances"].append(
          this->InstanceJson(worker->listed.name, running));
    }
    list.append(item);
  }
  return list;
}

Json::Value FleetApi::InstanceJson(const WorkerName& worker,
                                   const Json::Value& running) const {
  const WorkerInfo* const info = this->directory->Find(worker);
  const Versioned<InstanceRecord>* const record =
      this->fleet->records().ledger().Find(worker);
  Json::Value item(Json::objectValue);
  item["name"] = worker.str();
  item["zone"] = info->listed.zone.str();
  item["rack"] = info->listed.rack.str();
  item["state"] = info->leaving ? "leaving" : "live";
  item["step"] = ToString(record == nullptr ? InstanceStep::kInService
                                            : record->value.step);
  // Null if the leader has no answer from the worker.
  item["running"] = running.get(worker.str(), Json::Value());
  return item;
}

void FleetApi::Move(const HttpRequest& request, const HttpResponder& respond) {
  const Result<Json::Value> body = ParseJson(request.body);
  const Result<std::string> worker = body.ok()
                                         ? JsonString(body.value(), "instance")
                                         : Result<std::string>(body.error());
  const Result<std::string> pool = body.ok()
                                       ? JsonString(body.value(), "pool")
                                       : Result<std::string>(body.error());
  if (!worker.ok() || !pool.ok()) {
    respond(ErrorAnswer(worker.ok() ? pool.error() : worker.error()));
    return;
  }
  this->fleet->requests().Move(
      WorkerName(worker.value()), PoolName(pool.value()),
      [respond, worker, pool](const Result<InstanceStep>& step) {
        if (!step.ok()) {
          respond(ErrorAnswer(step.error()));
          return;
        }
        Json::Value answer(Json::objectValue);
        answer["instance"] = worker.value();
        answer["pool"] = pool.value();
        answer["step"] = ToString(step.value());
        respond(JsonAnswer(answer));
      });
}

void FleetApi::Drain(const std::string& worker, const HttpResponder& respond) {
  this->fleet->requests().Drain(
      WorkerName(worker), [respond, worker](const Result<InstanceStep>& step) {
        if (!step.ok()) {
          respond(ErrorAnswer(step.error()));
          return;
        }
        Json::Value answer(Json::objectValue);
        answer["instance"] = worker;
        answer["step"] = ToString(step.value());
        respond(JsonAnswer(answer));
      });
}

void FleetApi::Pause(bool paused,
                     const std::string& author,
                     const HttpResponder& respond) {
  this->fleet->requests().SetPaused(paused, author,
                                    [respond](const Result<bool>& result) {
                                      if (!result.ok()) {
                                        respond(ErrorAnswer(result.error()));
                                        return;
                                      }
                                      Json::Value answer(Json::objectValue);
                                      answer["paused"] = result.value();
                                      respond(JsonAnswer(answer));
                                    });
}

Json::Value FleetApi::Maintenance() const {
  const PoolLedger& ledger = this->fleet->records().ledger();
  const MaintenanceInput input = MaintenanceInputOf(
      this->declaration(), ledger, std::chrono::system_clock::now());
  const MaintenancePlan plan = MaintenancePlanner::Plan(input);
  std::int64_t done = 0;
  for (const InstanceRecord& record : input.instances) {
    done += record.maintained_cycle >= input.cycle ? 1 : 0;
  }
  // Reboot time aside, an instance is down at most as long as the drain waits
  // for its tasks. Both figures count only time in open maintenance windows.
  const Duration downtime = this->declaration().maintenance.patience;
  Json::Value answer(Json::objectValue);
  answer["paused"] = this->fleet->records().paused();
  answer["waves"] = WavesJson(plan);
  answer["done"] = Json::Int64(done);
  answer["remaining"] =
      Json::Int64(static_cast<std::int64_t>(input.instances.size()) - done);
  answer["rollout_hours"] =
      ToHours(downtime * static_cast<std::int64_t>(plan.waves.size()));
  answer["lower_bound_hours"] =
      ToHours(MaintenancePlanner::LowerBound(input, downtime));
  return answer;
}

void FleetApi::Plan(const HttpRequest& request,
                    const HttpResponder& respond) const {
  const Result<PoolCounts> change =
      ParseWhatIf(request.Query("what_if"), this->declaration());
  if (!change.ok()) {
    respond(ErrorAnswer(change.error()));
    return;
  }
  const CapacityInput input = CapacityInputOf(
      this->declaration(), this->fleet->records().ledger(), change.value());
  const BufferPlanner planner(input);
  const BufferPlan plan = planner.Plan();
  Json::Value answer(Json::objectValue);
  answer["feasible"] = plan.feasible;
  answer["buffers"] = BuffersJson(plan, input);
  answer["cost_instance_hours"] = BufferPlanner::CostHours(plan.total, kYear);
  answer["gain"] =
      GainJson(planner.WhatIf(std::min(plan.total, kMaxWhatIfRows)));
  respond(JsonAnswer(answer));
}

}  // namespace daisyroad
