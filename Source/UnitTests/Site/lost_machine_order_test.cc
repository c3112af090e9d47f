#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "Core/Common/metrics_registry.h"
#include "Core/Site/allotment_manager.h"
#include "Core/Site/fleet_leader.h"
#include "Core/Site/leadership.h"
#include "Core/Site/pool_leader.h"
#include "Core/Site/prefix_mirror.h"
#include "Core/Site/site_codec.h"
#include "Core/Site/store_keys.h"
#include "Core/Transport/event_loop.h"
#include "Core/Transport/http_client.h"
#include "Core/Transport/rpc_client.h"
#include "UnitTests/Site/fake_revision_store.h"
#include "UnitTests/Site/fake_worker_client.h"

namespace daisyroad {
namespace {

const PoolName kPool("pool");
constexpr int kMachines = 6;
constexpr std::int64_t kWave = 1;
constexpr Milliseconds kUpkeep{1500};
constexpr Milliseconds kCallTimeout{300};

// Carries out maintenance, and may lose answers or execute orders late.
class MaintenanceService : public MachineClient {
 public:
  explicit MaintenanceService(EventLoop* loop) : loop(loop) {
    for (int i = 0; i < kMachines; ++i) {
      Machine machine;
      machine.name = MachineName("m" + std::to_string(i));
      machine.pool = kPool;
      machine.worker = WorkerName("w" + std::to_string(i));
      this->machines.push_back(machine);
    }
  }

  void List(
      std::function<void(Result<std::vector<Machine>>)> callback) override {
    if (this->loses_answers) {
      this->loop->After(kCallTimeout, [callback]() { callback(Timeout()); });
      return;
    }
    this->loop->After(Milliseconds(1), [callback, listed = this->machines]() {
      callback(listed);
    });
  }
  void Move(const MachineName&,
            const PoolName&,
            std::int64_t,
            std::function<void(Result<MachineOrderOutcome>)>) override {}
  void Upkeep(
      const MachineName& machine,
      std::int64_t,
      std::int64_t,
      std::function<void(Result<MachineOrderOutcome>)> callback) override {
    ++this->orders;
    if (this->on_order) {
      this->on_order();
    }
    if (this->late_by.count() > 0) {
      this->loop->After(this->late_by,
                        [this, machine]() { this->Begin(machine); });
      this->late_by = Milliseconds(0);
      this->loop->After(kCallTimeout, [callback]() { callback(Timeout()); });
      return;
    }
    const MachineOrderOutcome outcome = this->Begin(machine);
    if (this->loses_answers) {
      this->loop->After(kCallTimeout, [callback]() { callback(Timeout()); });
    } else {
      this->loop->After(Milliseconds(1),
                        [callback, outcome]() { callback(outcome); });
    }
  }

  std::vector<Machine> machines;
  std::map<MachineName, int> begun;
  int orders = 0;
  int most_at_once = 0;
  bool loses_answers = false;
  Milliseconds late_by{0};  // of the next order
  std::function<void()> on_order;
  // Called when a machine goes into maintenance and when it is up again.
  std::function<void()> on_change;

 private:
  static Error Timeout() {
    return Error{Errc::kTimeout, "machines", "", "no answer"};
  }

  MachineOrderOutcome Begin(const MachineName& name) {
    const std::vector<Machine>::iterator machine =
        std::find_if(this->machines.begin(), this->machines.end(),
                     [&name](const Machine& any) { return any.name == name; });
    if (this->begun.contains(name)) {
      return MachineOrderOutcome::kDone;
    }
    if (machine->state != MachineState::kUp) {
      return MachineOrderOutcome::kBusy;
    }
    machine->state = MachineState::kUpkeep;
    this->on_change();
    ++this->begun[name];
    this->most_at_once = std::max(
        this->most_at_once, static_cast<int>(std::count_if(
                                this->machines.begin(), this->machines.end(),
                                [](const Machine& any) {
                                  return any.state == MachineState::kUpkeep;
                                })));
    this->loop->After(kUpkeep,
                      [this, index = machine - this->machines.begin()]() {
                        this->machines[index].state = MachineState::kUp;
                        this->on_change();
                      });
    return MachineOrderOutcome::kDone;
  }

  EventLoop* loop;
};

// Entries in the platform's format, none of which the leader reads here.
class NoEntries : public SiteCodec {
 public:
  std::string OperatorPrefix() const override { return "op/"; }
  std::string ConfigKey() const override { return "op/config"; }
  void DecodeOperator(const std::vector<StoreItem>&, OperatorState*) override {}
  std::string WorkerPrefix() const override { return "servers/"; }
  Result<WorkerListing> DecodeWorker(const std::string&,
                                     const std::string&) override {
    return Error{Errc::kProtocol, "worker", "", "no workers"};
  }
  StoreWrite EncodeWaveStatus(std::int64_t, bool is_complete) override {
    return StoreWrite{"status", is_complete ? "completed" : "running", 0};
  }
};

// An instance that leads the fleet in a wave that takes one machine at a time.
class LeadingInstance {
 public:
  LeadingInstance(EventLoop* loop,
                  FakeRevisionStore* store,
                  MachineClient* machines,
                  PoolLeader* scheduler,
                  const std::string& node)
      : http(
            [loop](std::function<void()> function) {
              loop->Post(std::move(function));
            },
            &metrics),
        peers(&http),
        mirror(store,
               loop,
               kSitePrefix,
               Milliseconds(200),
               [this](const std::vector<StoreChange>&) {
                 this->leadership.OnMirrorChange();
               }),
        leadership(store,
                   loop,
                   &mirror,
                   node,
                   "127.0.0.1:1",
                   1.0,
                   Leadership::Listener{
                       [this](const Term& term) { this->Begin(term); },
                       [this](const std::string&) { this->leader.reset(); }}) {
    this->context.store = store;
    this->context.machines = machines;
    this->context.loop = loop;
    this->context.peers = &this->peers;
    this->context.codec = &this->codec;
    this->context.metrics = &this->metrics;
    this->context.leadership = &this->leadership;
    this->context.find_leader = [scheduler](const PoolName&) {
      return scheduler;
    };
    this->mirror.Start();
    this->leadership.Start();
    this->leadership.SetDuties({kFleetDuty});
  }

  void Stop() { this->leadership.Stop(); }

 private:
  void Begin(const Term& term) {
    const std::shared_ptr<SiteConfig> config = std::make_shared<SiteConfig>();
    config->pools[kPool];
    OperatorState operators;
    operators.config = config;
    MaintenanceWave& wave = operators.waves[kWave];
    wave.number = kWave;
    wave.duration = std::chrono::seconds(30);
    for (int i = 0; i < kMachines; ++i) {
      wave.machines.emplace_back("m" + std::to_string(i));
    }
    this->leader = std::make_unique<FleetLeader>(this->context, term);
    this->leader->SetOperatorState(operators);
    this->leader->Start();
  }

  MetricsRegistry metrics;
  HttpClient http;
  RpcClient peers;
  NoEntries codec;
  PrefixMirror mirror;
  Leadership leadership;
  FleetLeaderContext context;
  std::unique_ptr<FleetLeader> leader;
};

// A pool without load whose machines are maintained.
struct Fixture {
  Fixture()
      : store(&loop), machines(&loop), workers(&loop), allotments(&store) {
    PoolLeaderContext context;
    context.store = &this->store;
    context.workers = &this->workers;
    context.machines = &this->machines;
    context.loop = &this->loop;
    context.allotments = &this->allotments;
    context.metrics = &this->metrics;
    context.may_issue_orders = []() { return true; };
    context.is_lease_valid = []() { return true; };
    Term term;
    term.duty = "pool/pool";
    term.number = 1;
    term.is_predecessor_gone = true;
    this->scheduler = std::make_unique<PoolLeader>(context, kPool, term);
    this->machines.on_change = [this]() { this->UpdateWorkers(); };
    this->UpdateWorkers();
    this->scheduler->Start();
    this->Lead("node1");
  }
  void Lead(const std::string& node) {
    this->instances.push_back(std::make_unique<LeadingInstance>(
        &this->loop, &this->store, &this->machines, this->scheduler.get(),
        node));
  }
  // The worker of a machine runs and is listed while the machine is up.
  void UpdateWorkers() {
    for (const Machine& machine : this->machines.machines) {
      if (machine.state != MachineState::kUp &&
          machine.worker == this->broken_worker) {
        this->broken_worker = WorkerName();
      }
      const bool is_up = machine.state == MachineState::kUp &&
                         machine.worker != this->broken_worker;
      if (is_up && !this->listing.contains(machine.worker)) {
        this->workers.Boot(machine.worker);
        WorkerListing& listed = this->listing[machine.worker];
        listed.name = machine.worker;
        listed.pool = kPool;
        listed.capacity = Resources{4000, 8000, 0};
      } else if (!is_up && this->listing.erase(machine.worker) > 0) {
        this->workers.Crash(machine.worker);
      }
    }
    this->scheduler->SetListing(this->listing);
  }
  // The order that is being given is executed late. Meanwhile the worker of the
  // machine is down, so that the machine does not come first for another order.
  void DelayOrder(Milliseconds delay) {
    this->machines.late_by = delay;
    this->broken_worker = WorkerName("w1");
    this->UpdateWorkers();
  }
  bool IsComplete() const {
    const std::map<std::string, StoreItem>::const_iterator status =
        this->store.items.find("status");
    return status != this->store.items.end() &&
           status->second.value == "completed";
  }
  void RunUntilComplete() {
    const MonotonicTime until =
        std::chrono::steady_clock::now() + std::chrono::seconds(30);
    while (!this->IsComplete() && std::chrono::steady_clock::now() < until) {
      this->loop.RunFor(Milliseconds(50));
    }
  }

  EventLoop loop;
  FakeRevisionStore store;
  MaintenanceService machines;
  FakeWorkerClient workers;
  AllotmentManager allotments;
  MetricsRegistry metrics;
  std::map<WorkerName, WorkerListing> listing;
  WorkerName broken_worker;  // until its machine goes into maintenance
  std::unique_ptr<PoolLeader> scheduler;
  std::vector<std::unique_ptr<LeadingInstance>> instances;
};

// Guards against LIMIT: an order into maintenance whose answer was lost was
// forgotten before a list showed the machine (review/15).
TEST_CASE("A wave keeps its limit while answers are lost", "[lost]") {
  Fixture fixture;
  fixture.machines.on_order = [&fixture]() {
    if (fixture.machines.orders == 2) {
      fixture.machines.loses_answers = true;
      fixture.loop.After(Milliseconds(1400), [&fixture]() {
        fixture.machines.loses_answers = false;
      });
    }
  };
  fixture.RunUntilComplete();
  CHECK(fixture.IsComplete());
  CHECK(fixture.machines.most_at_once == 1);
  CHECK(fixture.machines.begun.size() == kMachines);
}

// Guards against LIMIT: a list shows the machine as up before an order that is
// executed late takes it down beside the next one.
TEST_CASE("A wave keeps its limit when an order is executed late", "[late]") {
  Fixture fixture;
  fixture.machines.on_order = [&fixture]() {
    if (fixture.machines.orders == 2) {
      fixture.DelayOrder(Milliseconds(2000));
    }
  };
  fixture.RunUntilComplete();
  CHECK(fixture.IsComplete());
  CHECK(fixture.machines.most_at_once == 1);
}

// Guards against LIMIT by a new leader that does not know the order on its way.
TEST_CASE("A wave keeps its limit when its leader changes", "[leader]") {
  Fixture fixture;
  fixture.machines.on_order = [&fixture]() {
    if (fixture.machines.orders == 2) {
      fixture.DelayOrder(Milliseconds(2000));
      fixture.instances.front()->Stop();
      fixture.Lead("node2");
    }
  };
  fixture.RunUntilComplete();
  CHECK(fixture.IsComplete());
  CHECK(fixture.machines.most_at_once == 1);
}

}  // namespace
}  // namespace daisyroad
