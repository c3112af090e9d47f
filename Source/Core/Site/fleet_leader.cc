#include "Core/Site/fleet_leader.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "Core/Common/json.h"
#include "Core/Common/logging.h"
#include "Core/Common/metrics_registry.h"
#include "Core/Common/overloaded.h"
#include "Core/Machines/machine_planner.h"
#include "Core/Machines/sent_orders.h"
#include "Core/Site/job_service.h"
#include "Core/Site/pool_leader.h"
#include "Core/Site/pool_load_codec.h"
#include "Core/Site/site_codec.h"
#include "Core/Site/store_keys.h"
#include "Core/Transport/event_loop.h"
#include "Core/Transport/rpc_client.h"

namespace daisyroad {
namespace {

constexpr Milliseconds kPlanInterval{100};
constexpr Milliseconds kListInterval{250};
constexpr Milliseconds kLoadTimeout{300};
constexpr Milliseconds kStoreTimeout{700};
// A load report older than this does not reflect what runs now.
constexpr Milliseconds kMaxLoadAge{600};
// An order terminates whatever runs on the machine. The report that its worker
// is empty must therefore be recent enough that a new scheduler cannot have
// started anything since.
constexpr Milliseconds kMaxOrderLoadAge{180};
constexpr Milliseconds kLoadLogInterval{1000};
// Minimum time before an unanswered order is repeated.
constexpr Milliseconds kOrderRetryInterval{700};
// Delay before the first orders of a term, so that those of the previous term
// have been executed or refused by then.
constexpr Milliseconds kTakeoverDelay{3000};

template <typename Name>
Json::Value NamesToJson(const std::set<Name>& names) {
  Json::Value json(Json::arrayValue);
  for (const Name& name : names) {
    json.append(name.str());
  }
  return json;
}

MonotonicTime Now() {
  return std::chrono::steady_clock::now();
}

}  // namespace

struct FleetLeader::State : std::enable_shared_from_this<State> {
  FleetLeaderContext context;
  Term term;
  OperatorState operators;
  MachinePlanner planner;
  std::vector<Machine> machines;
  MonotonicTime listed_at;
  MonotonicTime next_list;
  MonotonicTime earliest_order_at;
  std::map<PoolName, PoolReport> pools;
  std::map<PoolName, MonotonicTime> load_requested_at;
  std::map<PoolName, std::set<WorkerName>> vacate;
  std::map<PoolName, std::set<WorkerName>> due;
  std::map<std::int64_t, WaveProgress> waves;
  std::set<std::int64_t> waves_loading;  // record being read
  std::set<std::int64_t> waves_complete;
  std::set<std::int64_t> waves_saving;   // record being written
  std::set<std::int64_t> waves_unsaved;  // changed since
  std::map<MachineName, MonotonicTime> next_order;
  SentOrders sent_orders;
  MonotonicTime next_load_log;
  bool is_listing = false;
  bool has_home_sizes = false;
  // Whether `due` covers the open waves.
  bool is_due_known = false;
  bool is_stopped = false;

  void Tick() {
    if (this->is_stopped) {
      return;
    }
    const std::shared_ptr<State> self = this->shared_from_this();
    this->context.loop->After(kPlanInterval, [self]() { self->Tick(); });
    if (!this->operators.config) {
      return;
    }
    const MonotonicTime now = Now();
    if (!this->is_listing && now >= this->next_list) {
      this->ListMachines(now);
    }
    this->LoadWaves();
    // Fencing does not reject the orders of a superseded instance until its
    // successor has issued one for the same machine, so none is issued without
    // a valid lease. Nor are loads requested: the requests name the workers to
    // be emptied, and would contradict those of the successor.
    if (!this->context.leadership->IsLeaseValid()) {
      return;
    }
    this->RequestLoads(now);
    if (this->has_home_sizes) {
      this->Plan(now);
    }
  }

  void ListMachines(MonotonicTime now) {
    this->is_listing = true;
    this->next_list = now + kListInterval;
    const std::shared_ptr<State> self = this->shared_from_this();
    this->context.machines->List(
        [self, now](const Result<std::vector<Machine>>& machines) {
          self->is_listing = false;
          if (self->is_stopped) {
            return;
          }
          if (!machines.ok()) {
            CLOG(WARNING, kFleetLog) << "event=machines_not_listed error=\""
                                     << machines.error().ToString() << "\"";
            return;
          }
          self->machines = machines.value();
          self->listed_at = now;
          self->ReviewWaves();
          if (!self->has_home_sizes) {
            self->LoadHomeSizes();
          }
        });
  }

  // Ends the reservations of machines whose maintenance the list shows.
  void ReviewWaves() {
    for (std::pair<const std::int64_t, WaveProgress>& wave : this->waves) {
      bool is_changed = false;
      for (const Machine& machine : this->machines) {
        const bool is_shared = std::any_of(
            this->waves.begin(), this->waves.end(),
            [&machine,
             &wave](const std::pair<const std::int64_t, WaveProgress>& other) {
              return other.first != wave.first &&
                     other.second.IsReserved(machine.name);
            });
        is_changed |= wave.second.OnListed(machine, this->listed_at, is_shared);
      }
      if (is_changed) {
        this->SaveWave(wave.first);
      }
    }
  }

  // Loads the sizes that the pools had when daisyroad first saw them, or stores
  // the current ones if there is no record yet.
  void LoadHomeSizes() {
    Json::Value sizes(Json::objectValue);
    for (const Machine& machine : this->machines) {
      sizes[machine.pool.str()] = sizes[machine.pool.str()].asInt() + 1;
    }
    StoreTransaction transaction;
    transaction.expected.push_back({kHomeSizesKey, 0});
    transaction.writes.push_back({kHomeSizesKey, WriteJson(sizes), 0});
    const std::shared_ptr<State> self = this->shared_from_this();
    this->context.store->Commit(
        transaction, kStoreTimeout,
        [self, sizes](const Result<TransactionResult>& result) {
          if (!result.ok() || self->is_stopped) {
            return;
          }
          const TransactionConflict* const conflict =
              std::get_if<TransactionConflict>(&result.value());
          if (conflict == nullptr) {
            self->AdoptHomeSizes(sizes);
            return;
          }
          for (const StoreItem& item : conflict->items) {
            const Result<Json::Value> json = ParseJson(item.value);
            if (json.ok()) {
              self->AdoptHomeSizes(json.value());
            }
          }
        });
  }

  void AdoptHomeSizes(const Json::Value& json) {
    std::map<PoolName, int> sizes;
    for (const std::string& pool : json.getMemberNames()) {
      sizes[PoolName(pool)] = json[pool].asInt();
    }
    this->planner.SetHomeSizes(std::move(sizes));
    this->has_home_sizes = true;
  }

  void LoadWaves() {
    for (const std::pair<const std::int64_t, MaintenanceWave>& wave :
         this->operators.waves) {
      if (this->waves.contains(wave.first) ||
          !this->waves_loading.insert(wave.first).second) {
        continue;
      }
      const std::shared_ptr<State> self = this->shared_from_this();
      this->context.store->Get(
          WaveKey(wave.first), kStoreTimeout,
          [self, requested_wave = wave.second](
              const Result<std::optional<StoreItem>>& item) {
            self->waves_loading.erase(requested_wave.number);
            if (item.ok() && !self->is_stopped) {
              self->AdoptWave(requested_wave, item.value());
            }
          });
    }
  }

  void AdoptWave(const MaintenanceWave& wave,
                 const std::optional<StoreItem>& item) {
    WaveProgress progress;
    progress.wave = wave;
    progress.begun_at = Now();
    if (item) {
      const Result<Json::Value> json = ParseJson(item->value);
      if (json.ok() && json.value().isObject()) {
        for (const Json::Value& machine : json.value()["done"]) {
          progress.done.insert(MachineName(machine.asString()));
        }
        for (const Json::Value& machine : json.value()["ordered"]) {
          progress.AdoptOrder(MachineName(machine.asString()), Now());
        }
        const WallTime begun(Milliseconds(json.value()["begun"].asInt64()));
        progress.begun_at -= std::chrono::duration_cast<Duration>(
            std::chrono::system_clock::now() - begun);
      }
    }
    this->waves[wave.number] = progress;
    CLOG(INFO, kFleetLog) << "event=wave number=" << wave.number
                          << " machines=" << wave.machines.size()
                          << " done=" << progress.done.size();
    this->SaveWave(wave.number);
  }

  // Writes the wave again once the present write has an answer, so that an
  // older record never replaces a newer one.
  void SaveWave(std::int64_t number) {
    if (!this->waves_saving.insert(number).second) {
      this->waves_unsaved.insert(number);
      return;
    }
    const WaveProgress& progress = this->waves.at(number);
    const bool is_complete =
        !this->machines.empty() && progress.CountLeft(this->machines) == 0;
    Json::Value json;
    json["begun"] = Json::Int64(
        std::chrono::duration_cast<Milliseconds>(
            (std::chrono::system_clock::now() +
             std::chrono::duration_cast<std::chrono::system_clock::duration>(
                 progress.begun_at - Now()))
                .time_since_epoch())
            .count());
    json["done"] = Json::arrayValue;
    for (const MachineName& machine : progress.done) {
      json["done"].append(machine.str());
    }
    const std::set<MachineName> reserved = progress.Reserved();
    json["ordered"] = NamesToJson(reserved);
    StoreTransaction transaction;
    transaction.expected.push_back(
        {kLeaderPrefix + this->term.duty, this->term.fence});
    transaction.writes.push_back({WaveKey(number), WriteJson(json), 0});
    transaction.writes.push_back(
        this->context.codec->EncodeWaveStatus(number, is_complete));
    const std::shared_ptr<State> self = this->shared_from_this();
    this->context.store->Commit(
        transaction, kStoreTimeout,
        [self, number, is_complete,
         reserved](const Result<TransactionResult>& result) {
          if (self->is_stopped) {
            return;
          }
          self->waves_saving.erase(number);
          const bool is_unsaved = self->waves_unsaved.erase(number) > 0;
          if (!result.ok()) {
            self->context.loop->After(kOrderRetryInterval, [self, number]() {
              if (!self->is_stopped) {
                self->SaveWave(number);
              }
            });
          } else if (std::holds_alternative<TransactionCommitted>(
                         result.value())) {
            self->waves.at(number).OnRecorded(reserved);
          }
          if (result.ok() && is_complete &&
              self->waves_complete.insert(number).second) {
            CLOG(INFO, kFleetLog) << "event=wave_complete number=" << number;
          }
          if (result.ok() && is_unsaved) {
            self->SaveWave(number);
          }
        });
  }

  void RequestLoads(MonotonicTime now) {
    std::map<PoolName, PoolReport> known;
    for (const std::pair<const PoolName, PoolConfig>& pool :
         this->operators.config->pools) {
      PoolReport& report = known[pool.first];
      report = this->pools[pool.first];
      report.is_spare = pool.second.is_spare;
      report.is_known =
          this->load_requested_at.contains(pool.first) &&
          now - this->load_requested_at.at(pool.first) < kMaxLoadAge;
    }
    this->pools = std::move(known);
    for (const std::pair<const PoolName, PoolConfig>& pool :
         this->operators.config->pools) {
      if (!pool.second.is_spare) {
        this->RequestLoad(pool.first, now);
      }
    }
  }

  void RequestLoad(const PoolName& pool, MonotonicTime now) {
    PoolLeader* const leader = this->context.find_leader(pool);
    if (leader != nullptr) {
      if (leader->is_ready()) {
        leader->SetVacating(this->vacate[pool],
                            this->is_due_known
                                ? std::make_optional(this->due[pool])
                                : std::nullopt);
        this->pools[pool].load = leader->Load();
        this->load_requested_at[pool] = now;
      }
      return;
    }
    const std::string peer =
        this->context.leadership->LeaderAddress(PoolDuty(pool));
    if (peer.empty()) {
      return;
    }
    Json::Value params;
    params["pool"] = pool.str();
    params["vacate"] = NamesToJson(this->vacate[pool]);
    if (this->is_due_known) {
      params["due"] = NamesToJson(this->due[pool]);
    }
    const std::shared_ptr<State> self = this->shared_from_this();
    this->context.peers->Call(
        peer, "pool.load", params, kLoadTimeout,
        [self, pool, now](const Result<Json::Value>& result) {
          if (!self->is_stopped && result.ok() && result.value().isObject() &&
              result.value().isMember("workers")) {
            self->pools[pool].load = ParsePoolLoad(result.value());
            self->load_requested_at[pool] = now;
          }
        });
  }

  // Logs the pool loads that the next decisions are based on, at most once per
  // kLoadLogInterval.
  void LogLoads(MonotonicTime now) {
    if (now < this->next_load_log) {
      return;
    }
    this->next_load_log = now + kLoadLogInterval;
    for (const std::pair<const PoolName, PoolReport>& pool : this->pools) {
      const PoolLoad& load = pool.second.load;
      if (!pool.second.is_spare) {
        CLOG(INFO, kFleetLog)
            << "event=pool_load pool=" << pool.first
            << " known=" << pool.second.is_known
            << " capacity=" << load.capacity << " used=" << load.used
            << " waiting=" << load.waiting << " needed=" << load.needed
            << " services=" << load.services
            << " workers=" << load.workers.size()
            << " usable=" << load.usable_workers
            << " with_services=" << load.CountServiceWorkers()
            << " vacating=" << this->vacate[pool.first].size()
            << " due=" << this->due[pool.first].size();
      }
    }
    this->LogWaves(now);
  }

  void SetLeftGauge(std::int64_t wave, std::size_t left) {
    this->context.metrics->Gauge("daisyroad_wave_machines_left",
                                 "wave=\"" + std::to_string(wave) + "\"") =
        static_cast<std::int64_t>(left);
  }

  void LogWaves(MonotonicTime now) {
    for (const std::pair<const std::int64_t, WaveProgress>& wave :
         this->waves) {
      const bool is_complete = this->waves_complete.contains(wave.first);
      const std::size_t left =
          is_complete ? 0 : wave.second.CountLeft(this->machines);
      this->SetLeftGauge(wave.first, left);
      if (!is_complete) {
        CLOG(INFO, kFleetLog)
            << "event=wave_progress number=" << wave.first << " left=" << left
            << " seconds_left="
            << std::chrono::duration_cast<std::chrono::seconds>(
                   wave.second.begun_at + wave.second.wave.duration - now)
                   .count();
      }
    }
  }

  void Plan(MonotonicTime now) {
    this->LogLoads(now);
    std::map<std::int64_t, WaveProgress> open;
    for (const std::pair<const std::int64_t, WaveProgress>& wave :
         this->waves) {
      if (!this->waves_complete.contains(wave.first)) {
        open.insert(wave);
      }
    }
    MachinePlan plan = this->planner.Plan(this->CurrentMachines(), this->pools,
                                          open, this->operators.zones_out, now);
    this->due = std::move(plan.due);
    this->is_due_known = this->is_due_known || (this->waves_loading.empty() &&
                                                !this->machines.empty());
    // Until it may give orders, a new term only names the workers that waves
    // will empty, so that no capacity waits for an order.
    if (now < this->earliest_order_at) {
      return;
    }
    this->vacate = std::move(plan.vacate);
    this->VacateOrdered();
    std::erase_if(plan.orders, [this, now](const MachineOrder& order) {
      return !this->IsLoadFresh(order, now);
    });
    for (const MachineOrder& order : plan.orders) {
      std::visit(Overloaded{[this, now](const MoveMachine& move) {
                              this->Move(move, now);
                            },
                            [this, now](const MaintainMachine& maintain) {
                              this->Maintain(maintain, now);
                            }},
                 order);
    }
  }

  // The last list of machines, with the effects of orders that it does not show
  // yet.
  std::vector<Machine> CurrentMachines() {
    this->sent_orders.ForgetListed(this->listed_at);
    return this->sent_orders.Apply(this->machines);
  }

  // An order may still be executed, and would end whatever runs on the machine.
  void VacateOrdered() {
    for (const Machine& machine : this->machines) {
      if (this->sent_orders.Contains(machine.name)) {
        this->vacate[machine.pool].insert(machine.worker);
      }
    }
  }

  bool IsLoadFresh(const MachineOrder& order, MonotonicTime now) const {
    const MachineName& name = std::visit(
        [](const auto& any) -> const MachineName& { return any.machine; },
        order);
    for (const Machine& machine : this->machines) {
      if (machine.name == name) {
        const std::map<PoolName, MonotonicTime>::const_iterator at =
            this->load_requested_at.find(machine.pool);
        return this->pools.at(machine.pool).is_spare ||
               (at != this->load_requested_at.end() &&
                now - at->second < kMaxOrderLoadAge);
      }
    }
    return false;
  }

  bool TryReserveOrder(const MachineName& machine, MonotonicTime now) {
    MonotonicTime& next = this->next_order[machine];
    if (now < next) {
      return false;
    }
    next = now + kOrderRetryInterval;
    return true;
  }

  void Move(const MoveMachine& order, MonotonicTime now) {
    if (!this->TryReserveOrder(order.machine, now)) {
      return;
    }
    CLOG(INFO, kFleetLog) << "decision=move machine=" << order.machine
                          << " pool=" << order.pool
                          << " fence=" << this->term.fence;
    this->sent_orders.OnSent(order.machine, order.pool);
    const std::shared_ptr<State> self = this->shared_from_this();
    this->context.machines->Move(
        order.machine, order.pool, this->term.fence,
        [self, order](const Result<MachineOrderOutcome>& outcome) {
          self->OnOrderOutcome("move", order.machine, outcome);
        });
  }

  void Maintain(const MaintainMachine& order, MonotonicTime now) {
    WaveProgress& progress = this->waves.at(order.wave);
    // The next leader must count the machine, even if this one ends before the
    // order is answered.
    if (!progress.IsReserved(order.machine)) {
      progress.Reserve(order.machine);
      this->SaveWave(order.wave);
    }
    if (!progress.IsRecorded(order.machine) ||
        !this->TryReserveOrder(order.machine, now)) {
      return;
    }
    CLOG(INFO, kFleetLog) << "decision=maintain machine=" << order.machine
                          << " wave=" << order.wave
                          << " fence=" << this->term.fence;
    this->sent_orders.OnSent(order.machine, PoolName());
    progress.OnOrdered(order.machine);
    const std::shared_ptr<State> self = this->shared_from_this();
    this->context.machines->Upkeep(
        order.machine, order.wave, this->term.fence,
        [self, order](const Result<MachineOrderOutcome>& outcome) {
          self->OnOrderOutcome("maintain", order.machine, outcome);
          self->OnMaintenanceOutcome(order, outcome);
        });
  }

  void OnMaintenanceOutcome(const MaintainMachine& order,
                            const Result<MachineOrderOutcome>& outcome) {
    if (this->is_stopped) {
      return;
    }
    WaveProgress& progress = this->waves.at(order.wave);
    if (!outcome.ok()) {
      if (IsCertainlyRefused(outcome.error())) {
        progress.OnNotReceived(order.machine);
      } else {
        progress.OnNoAnswer(order.machine, Now());
      }
    } else if (progress.OnAnswer(order.machine, outcome.value())) {
      this->SaveWave(order.wave);
    }
  }

  static bool IsCertainlyRefused(const Error& error) {
    return error.code == Errc::kUnavailable ||
           error.code == Errc::kResourceExhausted;
  }

  void OnOrderOutcome(const char* order,
                      const MachineName& machine,
                      const Result<MachineOrderOutcome>& outcome) {
    const bool is_done =
        outcome.ok() && outcome.value() == MachineOrderOutcome::kDone;
    ++this->context.metrics->Counter("daisyroad_machine_orders_total",
                                     std::string("order=\"") + order +
                                         "\",outcome=\"" +
                                         (is_done ? "done" : "refused") + "\"");
    if (!is_done) {
      CLOG(WARNING, kFleetLog)
          << "event=machine_order_failed order=" << order
          << " machine=" << machine << " outcome=\""
          << (outcome.ok() ? std::to_string(static_cast<int>(outcome.value()))
                           : outcome.error().ToString())
          << "\"";
    }
    if (is_done || (!outcome.ok() && !IsCertainlyRefused(outcome.error()))) {
      this->sent_orders.OnSettled(machine, Now());
    } else {
      this->sent_orders.OnRefused(machine);
    }
  }
};

FleetLeader::FleetLeader(const FleetLeaderContext& context, const Term& term)
    : state(std::make_shared<State>()) {
  this->state->context = context;
  this->state->planner = MachinePlanner(context.planner);
  this->state->term = term;
  this->state->earliest_order_at =
      Now() + (term.is_predecessor_gone ? Milliseconds(0) : kTakeoverDelay);
}

FleetLeader::~FleetLeader() {
  this->state->is_stopped = true;
  // Another instance may lead the fleet now.
  for (const std::pair<const std::int64_t, WaveProgress>& wave :
       this->state->waves) {
    this->state->SetLeftGauge(wave.first, 0);
  }
}

void FleetLeader::Start() {
  this->state->Tick();
}

void FleetLeader::SetOperatorState(const OperatorState& operators) {
  this->state->operators = operators;
}

}  // namespace daisyroad
