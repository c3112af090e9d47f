// Operator API handler for `GET /v1/ops/status`.

#include "Core/Entry/operator_api.h"

#include <algorithm>
#include <utility>

#include "Core/Control/control_document.h"
#include "Core/Entry/dispatch_service.h"
#include "Core/Entry/entry_context.h"
#include "Core/Entry/peer_service.h"
#include "Core/Entry/problem.h"
#include "Core/Entry/worker_directory.h"

namespace daisyroad {

void OperatorApi::Status(const HttpRequest&,
                         const std::string&,
                         const HttpResponder& respond) {
  Json::Value body;
  body["version"] = Json::UInt64(this->services.control->document().version());
  body["site"] = this->services.control->declaration().site;
  body["instances"] = this->InstancesStatus();
  body["zones"] = this->ZonesStatus();
  body["pools"] = this->PoolsStatus();
  body["teams"] = this->TeamsStatus();
  respond(JsonResponse(body));
}

Json::Value OperatorApi::InstancesStatus() const {
  Json::Value list(Json::arrayValue);
  Json::Value own;
  const Authority authority = this->services.control->Assess();
  own["name"] = this->context->self.str();
  own["zone"] = this->context->zone.str();
  own["version"] = Json::UInt64(this->services.control->document().version());
  own["authority"] = AuthorityStateName(authority.state);
  own["reason"] = authority.reason;
  own["alive"] = true;
  own["address"] = this->context->settings.peers_address;
  list.append(own);
  for (const std::pair<const std::string, PeerService::Peer>& entry :
       this->services.peers->known()) {
    const PeerService::Peer& peer = entry.second;
    Json::Value item;
    item["name"] = peer.name.str();
    item["zone"] = peer.zone.str();
    item["version"] = Json::UInt64(peer.report.version);
    item["alive"] = this->services.peers->IsLive(peer);
    item["reaches_store"] = peer.report.reaches_store;
    item["address"] = peer.address;
    list.append(item);
  }
  return list;
}

Json::Value OperatorApi::ZonesStatus() const {
  const ControlDocument& document = this->services.control->document();
  Json::Value list(Json::arrayValue);
  for (const Zone& zone : this->services.control->declaration().zones) {
    std::vector<std::uint64_t> versions;
    if (zone.name == this->context->zone) {
      versions.push_back(document.version());
    }
    for (const PeerService::Peer& peer : this->services.peers->Live()) {
      if (peer.zone == zone.name) {
        versions.push_back(peer.report.version);
      }
    }
    Json::Value item;
    item["name"] = zone.name.str();
    item["out"] = document.zones_out().count(zone.name) != 0;
    item["live_instances"] = Json::UInt64(versions.size());
    if (!versions.empty()) {
      item["version_min"] =
          Json::UInt64(*std::min_element(versions.begin(), versions.end()));
      item["version_max"] =
          Json::UInt64(*std::max_element(versions.begin(), versions.end()));
    }
    list.append(item);
  }
  return list;
}

Json::Value OperatorApi::PoolsStatus() const {
  Json::Value list(Json::arrayValue);
  for (const Pool& pool : this->services.control->declaration().pools) {
    Json::Value item;
    item["name"] = pool.name.str();
    item["workers"] = Json::Int64(pool.TotalWorkers());
    int live = 0;
    int leaving = 0;
    for (const WorkerInfo* worker :
         this->services.directory->InPool(pool.name)) {
      ++(worker->leaving ? leaving : live);
    }
    item["live"] = live;
    item["leaving"] = leaving;
    std::size_t queued = 0;
    std::size_t running = 0;
    for (const std::pair<const std::pair<PoolName, ZoneName>,
                         std::unique_ptr<CellDispatcher>>& cell :
         this->services.dispatch->cells()) {
      if (cell.first.first == pool.name) {
        queued += cell.second->waiting();
        running += cell.second->running();
      }
    }
    item["queued"] = Json::UInt64(queued);
    item["running"] = Json::UInt64(running);
    list.append(item);
  }
  return list;
}

Json::Value OperatorApi::TeamsStatus() const {
  Json::Value list(Json::arrayValue);
  for (const Team& team : this->services.control->declaration().teams) {
    Json::Value item;
    item["name"] = team.name.str();
    item["share"] = Json::Int64(team.share);
    item["limit"] = Json::Int64(team.upper_limit);
    item["running"] = Json::UInt64(this->services.dispatch->Running(team.name));
    list.append(item);
  }
  return list;
}

}  // namespace daisyroad
