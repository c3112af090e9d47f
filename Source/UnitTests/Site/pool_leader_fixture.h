#ifndef SOURCE_UNITTESTS_SITE_POOL_LEADER_FIXTURE_H_
#define SOURCE_UNITTESTS_SITE_POOL_LEADER_FIXTURE_H_

#include <map>
#include <memory>
#include <string>
#include <utility>

#include "Core/Common/json.h"
#include "Core/Common/metrics_registry.h"
#include "Core/Jobs/job_spec.h"
#include "Core/Site/allotment_manager.h"
#include "Core/Site/leadership.h"
#include "Core/Site/pool_leader.h"
#include "Core/Site/store_keys.h"
#include "Core/Transport/event_loop.h"
#include "UnitTests/Site/delayed_machines.h"
#include "UnitTests/Site/fake_revision_store.h"
#include "UnitTests/Site/fake_worker_client.h"

namespace daisyroad {

// A pool with the workers w1 and w2, each on a machine of its own.
class PoolLeaderFixture {
 public:
  // Long enough for the leader to act on a change.
  static constexpr Milliseconds kSettled{300};

  PoolLeaderFixture()
      : store(&loop), workers(&loop), machines(&loop), allotments(&store) {
    for (const char* const name : {"w1", "w2"}) {
      WorkerListing worker;
      worker.name = WorkerName(name);
      worker.pool = this->pool;
      worker.capacity = Resources{4000, 8000, 0};
      this->listing[worker.name] = worker;
      this->workers.Boot(worker.name);
      Machine machine;
      machine.name = MachineName(std::string("machine-") + name);
      machine.pool = this->pool;
      machine.worker = worker.name;
      this->machines.machines.push_back(machine);
    }
  }

  PoolLeaderContext Context() {
    PoolLeaderContext context;
    context.store = &this->store;
    context.workers = &this->workers;
    context.machines = &this->machines;
    context.loop = &this->loop;
    context.allotments = &this->allotments;
    context.metrics = &this->metrics;
    context.may_issue_orders = [this]() { return this->may_issue_orders; };
    context.is_lease_valid = [this]() { return this->is_lease_valid; };
    context.settings = this->settings;
    context.retention = this->retention;
    return context;
  }
  // Begins a term and waits until the leader has settled.
  void Lead(const Term& term) {
    this->leader =
        std::make_unique<PoolLeader>(this->Context(), this->pool, term);
    this->leader->SetListing(this->listing);
    this->leader->Start();
    this->loop.RunFor(kSettled);
  }
  Term FirstTerm() const {
    Term term;
    term.duty = "pool/" + this->pool.str();
    term.number = 1;
    term.is_predecessor_gone = true;
    return term;
  }
  void Store(const AcceptedJob& job) {
    this->store.Put(JobKey(this->pool, job.id), WriteJson(ToJson(job)));
  }
  void SetMachineState(const WorkerName& worker, MachineState state) {
    for (Machine& machine : this->machines.machines) {
      if (machine.worker == worker) {
        machine.state = state;
      }
    }
  }

  const PoolName pool{"pool"};
  EventLoop loop;
  FakeRevisionStore store;
  FakeWorkerClient workers;
  DelayedMachines machines;
  AllotmentManager allotments;
  MetricsRegistry metrics;
  SchedulerSettings settings;
  bool may_issue_orders = true;
  bool is_lease_valid = true;
  std::chrono::seconds retention = PoolLeaderContext().retention;
  std::map<WorkerName, WorkerListing> listing;
  std::unique_ptr<PoolLeader> leader;
};

}  // namespace daisyroad

#endif  // SOURCE_UNITTESTS_SITE_POOL_LEADER_FIXTURE_H_
