#include "Core/Entry/dispatch_service.h"

#include "Core/Common/hash.h"
#include "Core/Entry/control_service.h"
#include "Core/Entry/entry_context.h"
#include "Core/Entry/peer_service.h"
#include "Core/Entry/worker_directory.h"
#include "Core/Transport/event_loop.h"
#include "Core/Transport/rpc_client.h"
#include "Core/Transport/rpc_protocol.h"

namespace daisyroad {
namespace {

constexpr Milliseconds kTickPeriod{50};
constexpr Milliseconds kLeasePeriod{1000};
constexpr Milliseconds kRpcTimeout{1000};
constexpr Milliseconds kUpdateRetryInterval{200};
constexpr int kMaxUpdateAttempts = 50;
// Time for which a queued task may start after each renewal by its registrar.
constexpr Milliseconds kTaskValidity{3000};
constexpr int kRefusedCode = -32010;

std::vector<std::string> Names(const std::vector<EntryName>& entries) {
  std::vector<std::string> names;
  names.reserve(entries.size());
  for (const EntryName& entry : entries) {
    names.push_back(entry.str());
  }
  return names;
}

// Refusals are transmitted over RPC as "CODE TEXT".
std::string EncodeRefusal(const Error& error) {
  return std::to_string(error.code.value()) + " " + error.ToString();
}

Error DecodeRefusal(const Error& error) {
  // The RPC library prepends its own text and ": ".
  const std::size_t colon = error.detail.find(": ");
  const std::string text = colon == std::string::npos
                               ? error.detail
                               : error.detail.substr(colon + 2);
  const int code = std::atoi(text.c_str());
  if (error.code != Errc::kInternal || code <= 0) {
    return error;
  }
  const std::size_t space = text.find(' ');
  return Error{static_cast<Errc>(code), error.step, error.peer,
               text.substr(space + 1)};
}

}  // namespace

DispatchService::DispatchService(EntryContext* context,
                                 PeerService* peers,
                                 ControlService* control,
                                 WorkerDirectory* directory)
    : context(context), peers(peers), control(control), directory(directory) {}

void DispatchService::Start(UpdateHandler update_handler,
                            LimitTaker taker,
                            LimitReturner returner) {
  this->handler = std::move(update_handler);
  this->take_limit = std::move(taker);
  this->return_limit = std::move(returner);
  this->control->AddListener([this]() { this->ConfigureAll(); });
  this->directory->AddListener([this](const WorkerName& worker) {
    for (const std::pair<const CellKey, std::unique_ptr<CellDispatcher>>&
             entry : this->dispatchers) {
      entry.second->OnWorkerChanged(worker);
    }
  });
  this->context->loop->Every(kTickPeriod, [this]() { this->Tick(); });
  this->context->loop->Every(kLeasePeriod, [this]() { this->TrackWorkers(); });
}

EntryName DispatchService::OwnerOf(const PoolName& pool,
                                   const ZoneName& zone) const {
  std::vector<EntryName> candidates = this->peers->LiveIn(zone);
  if (candidates.empty()) {
    candidates = this->peers->LiveNames();
  }
  return candidates[RendezvousIndex(pool.str() + "/" + zone.str(),
                                    Names(candidates))];
}

void DispatchService::Send(const EntryName& owner,
                           DispatchRequest request,
                           const std::optional<WorkerName>& running_on,
                           StatusCallback callback) {
  if (owner == this->context->self) {
    request.valid_until = PeerService::Clock() + kTaskValidity;
    callback(this->EnqueueHere(request, running_on));
    return;
  }
  const std::optional<PeerService::Peer> peer = this->peers->Find(owner);
  if (!peer) {
    callback(Error{Errc::kUnavailable, "dispatch.enqueue", owner.str(),
                   "no address is known for the dispatcher"});
    return;
  }
  // The peer's clock has advanced at least to its last sample plus the time
  // since that reply arrived.
  request.valid_until =
      peer->clock +
      std::chrono::duration_cast<Milliseconds>(Now() - peer->replied_at) +
      kTaskValidity;
  Json::Value params = request.ToJson();
  if (running_on) {
    params["running_on"] = running_on->str();
  }
  this->context->rpc->Call(
      peer->address, "dispatch.enqueue", params, kRpcTimeout,
      [callback = std::move(callback)](const Result<Json::Value>& reply) {
        callback(reply.ok() ? OkStatus()
                            : Status(DecodeRefusal(reply.error())));
      });
}

void DispatchService::Renew(const EntryName& owner,
                            const std::vector<TaskId>& tasks,
                            StatesCallback callback) {
  const std::optional<PeerService::Peer> peer = this->peers->Find(owner);
  if (owner != this->context->self && !peer) {
    callback(Error{Errc::kUnavailable, "dispatch.renew", owner.str(),
                   "no address is known for the dispatcher"});
    return;
  }
  Json::Value params;
  params["tasks"] = Json::Value(Json::arrayValue);
  for (const TaskId& task : tasks) {
    params["tasks"].append(task.str());
  }
  const StatesCallback consume = std::move(callback);
  const std::function<void(const Result<Json::Value>&)> read =
      [tasks, consume](const Result<Json::Value>& reply) {
        if (!reply.ok()) {
          consume(reply.error());
          return;
        }
        std::map<TaskId, std::optional<DispatchState>> states;
        for (const TaskId& task : tasks) {
          const Json::Value& state = reply.value()["states"][task.str()];
          states[task] = state.isInt()
                             ? std::optional<DispatchState>(
                                   static_cast<DispatchState>(state.asInt()))
                             : std::nullopt;
        }
        consume(states);
      };
  if (owner == this->context->self) {
    params["valid_until_ms"] =
        Json::Int64((PeerService::Clock() + kTaskValidity).count());
    read(this->ServeRenew(params));
    return;
  }
  params["valid_until_ms"] = Json::Int64(
      (peer->clock +
       std::chrono::duration_cast<Milliseconds>(Now() - peer->replied_at) +
       kTaskValidity)
          .count());
  this->context->rpc->Call(peer->address, "dispatch.renew", params, kRpcTimeout,
                           read);
}

void DispatchService::Cancel(const EntryName& owner, const TaskId& task) {
  Json::Value params;
  params["task"] = task.str();
  if (owner == this->context->self) {
    this->ServeCancel(params);
    return;
  }
  const std::optional<std::string> address = this->peers->AddressOf(owner);
  if (address) {
    this->context->rpc->Call(*address, "dispatch.cancel", params, kRpcTimeout,
                             [](const Result<Json::Value>&) {});
  }
}

Json::Value DispatchService::ServeEnqueue(const Json::Value& params) {
  const Result<DispatchRequest> request = DispatchRequest::FromJson(params);
  if (!request.ok()) {
    throw RpcFailure{kRefusedCode, EncodeRefusal(request.error())};
  }
  std::optional<WorkerName> running_on;
  if (params["running_on"].isString()) {
    running_on = WorkerName(params["running_on"].asString());
  }
  const Status accepted = this->EnqueueHere(request.value(), running_on);
  if (!accepted.ok()) {
    throw RpcFailure{kRefusedCode, EncodeRefusal(accepted.error())};
  }
  return Json::Value(Json::objectValue);
}

Json::Value DispatchService::ServeRenew(const Json::Value& params) {
  const Milliseconds valid_until(params["valid_until_ms"].asInt64());
  Json::Value states(Json::objectValue);
  for (const Json::Value& item : params["tasks"]) {
    const TaskId task(item.asString());
    for (const std::pair<const CellKey, std::unique_ptr<CellDispatcher>>&
             entry : this->dispatchers) {
      const std::optional<DispatchState> state = entry.second->StateOf(task);
      if (state) {
        entry.second->Renew(task, valid_until);
        states[task.str()] = static_cast<int>(*state);
        break;
      }
    }
  }
  Json::Value result;
  result["states"] = states;
  return result;
}

Json::Value DispatchService::ServeCancel(const Json::Value& params) {
  const TaskId task(params["task"].asString());
  for (const std::pair<const CellKey, std::unique_ptr<CellDispatcher>>& entry :
       this->dispatchers) {
    entry.second->Cancel(task);
  }
  return Json::Value(Json::objectValue);
}

std::optional<MonotonicTime> DispatchService::StartDeadline(
    const QueueName& queue,
    const ZoneName& zone) const {
  if (this->is_stopping ||
      this->control->document().zones_out().count(zone) != 0) {
    return std::nullopt;
  }
  const Authority authority = this->control->Assess();
  if (authority.MayStart()) {
    return authority.deadline;
  }
  const TaskQueue* declared = this->control->declaration().FindQueue(queue);
  if (declared != nullptr && declared->when_isolated == WhenIsolated::kServe) {
    return Now() + kFreshness;
  }
  return std::nullopt;
}

std::vector<CellLoad> DispatchService::Loads() const {
  std::vector<CellLoad> loads;
  for (const std::pair<const CellKey, std::unique_ptr<CellDispatcher>>& entry :
       this->dispatchers) {
    if (this->OwnerOf(entry.first.first, entry.first.second) ==
        this->context->self) {
      loads.push_back(entry.second->Load());
    }
  }
  return loads;
}

std::size_t DispatchService::Running(const TeamName& team) const {
  std::size_t count = 0;
  for (const std::pair<const CellKey, std::unique_ptr<CellDispatcher>>& entry :
       this->dispatchers) {
    count += entry.second->Running(team);
  }
  return count;
}

std::size_t DispatchService::Waiting(const TeamName& team) const {
  std::size_t count = 0;
  for (const std::pair<const CellKey, std::unique_ptr<CellDispatcher>>& entry :
       this->dispatchers) {
    count += entry.second->Waiting(team);
  }
  return count;
}

CellDispatcher* DispatchService::GetOrCreateCell(const PoolName& pool,
                                                 const ZoneName& zone) {
  std::unique_ptr<CellDispatcher>& cell = this->dispatchers[{pool, zone}];
  if (!cell) {
    CellDispatcher::Hooks hooks;
    hooks.start_deadline = [this](const QueueName& queue,
                                  const ZoneName& where) {
      return this->StartDeadline(queue, where);
    };
    hooks.take_limit = this->take_limit;
    hooks.return_limit = this->return_limit;
    hooks.update = [this](const EntryName& registrar,
                          const DispatchUpdate& update) {
      this->Deliver(registrar, update);
    };
    cell = std::make_unique<CellDispatcher>(this->context, this->directory,
                                            pool, zone, hooks);
    this->Configure(cell.get());
  }
  return cell.get();
}

void DispatchService::Configure(CellDispatcher* cell) {
  const Declaration& declaration = this->control->declaration();
  const Pool* pool = declaration.FindPool(cell->pool());
  if (pool != nullptr) {
    cell->SetPool(*pool);
  }
  for (const Team& team : declaration.teams) {
    cell->SetWeight(team.name, static_cast<double>(team.share));
  }
}

void DispatchService::ConfigureAll() {
  for (const std::pair<const CellKey, std::unique_ptr<CellDispatcher>>& entry :
       this->dispatchers) {
    this->Configure(entry.second.get());
    if (this->control->document().zones_out().count(entry.first.second) != 0) {
      // No task may start in the zone, so the waiting tasks would only wait
      // until their deadlines.
      entry.second->HandBackWaiting(kZoneOut);
    }
  }
}

Status DispatchService::EnqueueHere(
    const DispatchRequest& request,
    const std::optional<WorkerName>& running_on) {
  if (this->is_stopping) {
    return Error{Errc::kUnavailable, "dispatch.enqueue",
                 this->context->self.str(), "the instance is shutting down"};
  }
  CellDispatcher* const cell =
      this->GetOrCreateCell(request.pool, request.zone);
  if (running_on) {
    cell->Adopt(request, *running_on);
    return OkStatus();
  }
  return cell->Enqueue(request);
}

void DispatchService::Deliver(const EntryName& registrar,
                              const DispatchUpdate& update) {
  if (registrar == this->context->self) {
    // Posted, so that the handler may call back into the cell.
    this->context->loop->Post([this, update]() { this->handler(update); });
    return;
  }
  this->SendUpdate(registrar, update, 1);
}

void DispatchService::SendUpdate(const EntryName& registrar,
                                 const DispatchUpdate& update,
                                 int attempt) {
  const std::optional<std::string> address = this->peers->AddressOf(registrar);
  if (!address) {
    return;
  }
  this->context->rpc->Call(
      *address, "task.update", update.ToJson(), kRpcTimeout,
      [this, registrar, update, attempt](const Result<Json::Value>& reply) {
        if (reply.ok() || attempt >= kMaxUpdateAttempts ||
            !IsFinal(update.state)) {
          return;
        }
        this->context->loop->After(
            kUpdateRetryInterval, [this, registrar, update, attempt]() {
              this->SendUpdate(registrar, update, attempt + 1);
            });
      });
}

void DispatchService::Tick() {
  for (const std::pair<const CellKey, std::unique_ptr<CellDispatcher>>& entry :
       this->dispatchers) {
    entry.second->Tick();
  }
}

}  // namespace daisyroad
