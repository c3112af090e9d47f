#include "UnitTests/Limits/limits_model.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "Core/Limits/limit_ledger.h"

namespace daisyroad {
namespace {

constexpr Duration kFreshness = std::chrono::seconds(3);
constexpr Duration kLease = std::chrono::seconds(2);
constexpr Duration kMargin = Milliseconds(500);
constexpr Duration kRunTime = std::chrono::seconds(24);
constexpr Duration kTick = Milliseconds(40);
constexpr std::size_t kNodes = 3;
constexpr std::size_t kWorkers = 2;

const TeamName& TestTeam() {
  static const TeamName kTeam("team");
  return kTeam;
}

AllotmentHolder::Options HolderOptions() {
  AllotmentHolder::Options options;
  options.freshness = kFreshness;
  options.task_lease = kLease;
  options.margin = kMargin;
  return options;
}

}  // namespace

LimitsModel::LimitsModel(std::uint64_t seed) : random(seed) {
  this->versions.push_back(Version{Duration::zero(), LimitSnapshot()});
  for (std::size_t i = 0; i < kNodes; ++i) {
    this->AddNode();
  }
  for (std::size_t i = 0; i < kWorkers; ++i) {
    this->workers.push_back(
        Worker{std::make_shared<FakeProcess>(&this->queue, &this->random), {}});
  }
  for (const NodeRef& node : this->nodes) {
    this->roster.insert(node->name);
  }
}

LimitsModel::~LimitsModel() {
  for (const std::shared_ptr<FakeProcess>& machine : this->machines) {
    machine->End();
  }
}

std::string LimitsModel::Run(Totals* totals) {
  for (int i = 0; i < 12; ++i) {
    this->queue.After(this->random.DurationBelow(kRunTime),
                      [this]() { this->RandomFault(); });
    this->queue.After(this->random.DurationBelow(kRunTime),
                      [this]() { this->ChangeDemand(); });
  }
  this->ChangeDemand();
  this->queue.RunUntil(kRunTime);
  totals->started += this->counts.started;
  totals->fenced += this->counts.fenced;
  totals->lapsed += this->counts.lapsed;
  totals->reclaimed += this->counts.reclaimed;
  totals->full += this->counts.full;
  return this->failure;
}

void LimitsModel::Fail(const std::string& text) {
  if (this->failure.empty()) {
    this->failure = text;
  }
}

void LimitsModel::AddNode() {
  const NodeRef node = std::make_shared<Node>();
  node->name = EntryName("e" + std::to_string(this->node_count));
  this->node_count += 1;
  node->machine = std::make_shared<FakeProcess>(&this->queue, &this->random);
  this->machines.push_back(node->machine);
  node->holder = std::make_unique<AllotmentHolder>(node->name, HolderOptions(),
                                                   this->random.Below(1000000));
  this->nodes.push_back(node);
  this->queue.After(Duration::zero(),
                    [this, node]() { this->PollPeriodically(node); });
}

void LimitsModel::PollPeriodically(const NodeRef& node) {
  if (!node->machine->alive) {
    return;
  }
  if (!node->machine->paused) {
    this->Poll(node);
  }
  this->queue.After(kTick, [this, node]() { this->PollPeriodically(node); });
}

void LimitsModel::Poll(const NodeRef& node) {
  node->ticks += 1;
  if (node->ticks % 10 == 1) {
    this->PollControl(node);
    this->Gossip(node);
    for (std::size_t i = 0; i < kWorkers; ++i) {
      this->PollWorker(node, i);
    }
  }
  node->holder->SetWaiting(TestTeam(), node->waiting);
  this->Perform(node, node->holder->Tick(node->machine->Clock()));
  if (node->ticks % 20 == 7) {
    this->Read(node);  // simulates a watch event
  }
  this->StartTasks(node);
}

bool LimitsModel::IsStoreDown(const Node& node) const {
  return this->outage || node.store_cut;
}

void LimitsModel::PollControl(const NodeRef& node) {
  const MonotonicTime sent = node->machine->Clock();
  node->machine->Call<ControlAnswer>(
      [this, node]() -> std::optional<ControlAnswer> {
        // During an outage of the whole store nothing can change, and the peers
        // confirm the configuration. An instance that is the only one cut off
        // from the store gets no confirmation.
        if (node->store_cut) {
          return std::nullopt;
        }
        return ControlAnswer{this->epoch, this->roster, this->limit,
                             this->limit_version};
      },
      [node, sent](std::optional<ControlAnswer> answer) {
        if (!answer || answer->epoch < node->epoch) {
          return;
        }
        node->epoch = answer->epoch;
        // A roster without this instance does not confirm its authority. An
        // instance that learns that it was removed stops renewing its tasks'
        // leases.
        if (answer->members.contains(node->name)) {
          node->confirmed_at = std::max(node->confirmed_at, sent);
        }
        node->holder->SetRoster(answer->members, node->confirmed_at,
                                node->machine->Clock());
        node->holder->SetLimit(TestTeam(), answer->limit, answer->version);
      });
}

void LimitsModel::Gossip(const NodeRef& node) {
  const TeamAllotment* allotment = node->holder->Find(TestTeam());
  if (allotment == nullptr || node->machine->cut) {
    return;
  }
  const PeerDemand demand = allotment->Report();
  for (const NodeRef& other : this->nodes) {
    if (other == node || other->machine->cut || this->random.Chance(0.2)) {
      continue;
    }
    this->queue.After(this->random.DurationBelow(Milliseconds(300)), [=]() {
      other->machine->Deliver([=]() {
        other->holder->OnPeerDemand(TestTeam(), node->name, demand,
                                    other->machine->Clock());
      });
    });
  }
}

void LimitsModel::PollWorker(const NodeRef& node, std::size_t worker) {
  node->machine->Call<Duration>(
      [this, worker]() -> std::optional<Duration> {
        return this->WorkerNow(worker);
      },
      [node, worker](std::optional<Duration> answer) {
        if (answer) {
          node->clocks[worker] = WorkerTime{*answer, node->machine->Clock()};
        }
      });
}

Duration LimitsModel::WorkerNow(std::size_t worker) const {
  return this->workers[worker].machine->Clock().time_since_epoch();
}

// Converts the end of the node's authority to the worker's clock. The worker
// read its clock before the reply arrived, so the conversion, which counts from
// the arrival, never yields a later time than the correct one.
Duration LimitsModel::AuthorityDeadline(const Node& node,
                                        std::size_t worker) const {
  const std::map<std::size_t, WorkerTime>::const_iterator found =
      node.clocks.find(worker);
  if (found == node.clocks.end()) {
    return Duration::zero();
  }
  return found->second.worker_now +
         (node.confirmed_at + kFreshness - found->second.received);
}

void LimitsModel::RandomFault() {
  const NodeRef node = this->nodes[this->random.Below(this->nodes.size())];
  const std::shared_ptr<FakeProcess> machine = node->machine;
  const Duration length = this->random.DurationBelow(std::chrono::seconds(15));
  switch (this->random.Below(7)) {
    case 0:
      machine->End();
      std::erase(this->nodes, node);
      this->AddNode();
      break;
    case 1:
      machine->paused = true;
      this->queue.After(length, [machine]() { machine->Resume(); });
      break;
    case 2:
      machine->cut = true;
      this->queue.After(length, [machine]() { machine->cut = false; });
      break;
    case 3:
      node->store_cut = true;
      this->queue.After(length, [node]() { node->store_cut = false; });
      break;
    case 4:
      this->outage = true;
      this->queue.After(length / 2, [this]() { this->outage = false; });
      break;
    case 5:
      if (!this->outage) {
        this->limit = 4 + static_cast<std::int64_t>(this->random.Below(16));
        this->limit_version += 1;
      }
      break;
    default:
      break;
  }
  this->ChangeRoster();
}

// Removes instances that have ended and most of those that are paused or cut
// off. A removed instance never returns to the roster and is replaced by a new
// one.
void LimitsModel::ChangeRoster() {
  if (this->outage) {
    this->queue.After(std::chrono::seconds(1),
                      [this]() { this->ChangeRoster(); });
    return;
  }
  this->epoch += 1;
  const std::vector<NodeRef> all = this->nodes;
  std::set<EntryName> next;
  for (const NodeRef& node : all) {
    const bool is_unavailable =
        node->machine->paused || node->machine->cut || node->store_cut;
    const bool was_member = this->roster.contains(node->name);
    if (was_member && this->random.Chance(is_unavailable ? 0.7 : 0.05)) {
      // The instance continues to run outside the roster.
      std::erase(this->nodes, node);
      this->AddNode();
      next.insert(this->nodes.back()->name);
      continue;
    }
    next.insert(node->name);
  }
  this->roster = next;
}

void LimitsModel::ChangeDemand() {
  for (const NodeRef& node : this->nodes) {
    node->waiting = this->random.Chance(0.7)
                        ? static_cast<std::int64_t>(this->random.Below(100))
                        : 0;
  }
}

void LimitsModel::Perform(const NodeRef& node,
                          const std::vector<LimitAction>& actions) {
  struct Visitor {
    LimitsModel* model;
    const NodeRef& node;
    void operator()(const ReadLimit&) { this->model->Read(this->node); }
    void operator()(const WriteLimit& action) {
      this->model->Write(this->node, action);
    }
  };
  for (const LimitAction& action : actions) {
    std::visit(Visitor{this, node}, action);
  }
}

void LimitsModel::Read(const NodeRef& node) {
  const Duration staleness =
      this->random.Chance(0.2)
          ? this->random.DurationBelow(std::chrono::seconds(2))
          : Duration::zero();
  node->machine->Call<LimitSnapshot>(
      [this, node, staleness]() -> std::optional<LimitSnapshot> {
        if (this->IsStoreDown(*node)) {
          return std::nullopt;
        }
        std::size_t i = this->versions.size() - 1;
        while (i > 0 && this->versions[i].at + staleness > this->queue.now()) {
          i -= 1;
        }
        return this->versions[i].snapshot;
      },
      [node](const std::optional<LimitSnapshot>& snapshot) {
        node->holder->OnRecord(TestTeam(), snapshot, node->machine->Clock());
      });
}

void LimitsModel::Write(const NodeRef& node, const WriteLimit& action) {
  node->machine->Call<WriteAnswer>(
      [this, node, action]() -> std::optional<WriteAnswer> {
        if (this->IsStoreDown(*node)) {
          return std::nullopt;
        }
        const LimitSnapshot& last = this->versions.back().snapshot;
        if (last.revision != action.base) {
          return WriteAnswer{WriteOutcome::kConflict, last.revision};
        }
        const std::int64_t sum = LimitLedger::Sum(action.record);
        if (sum >
            std::max(action.record.limit, LimitLedger::Sum(last.record))) {
          this->Fail("the allotments exceed the limit");
        }
        for (const std::pair<const EntryName, Allotment>& item :
             last.record.allotments) {
          this->counts.reclaimed +=
              action.record.allotments.contains(item.first) ? 0 : 1;
        }
        this->versions.push_back(
            Version{this->queue.now(),
                    LimitSnapshot{last.revision + 1, action.record}});
        return WriteAnswer{WriteOutcome::kWritten, action.base + 1};
      },
      [this, node, action](std::optional<WriteAnswer> answer) {
        const WriteAnswer known =
            answer.value_or(WriteAnswer{WriteOutcome::kNoAnswer, 0});
        this->Perform(node, node->holder->OnWriteAnswer(
                                TestTeam(), action.serial, known.outcome,
                                known.revision, node->machine->Clock()));
      });
}

void LimitsModel::StartTasks(const NodeRef& node) {
  if (node->machine->Clock() - node->confirmed_at > kFreshness) {
    return;
  }
  while (node->waiting > 0 && node->holder->TryStart(TestTeam())) {
    node->waiting -= 1;
    const std::size_t worker = this->random.Below(kWorkers);
    const Duration deadline = this->AuthorityDeadline(*node, worker);
    this->task_count += 1;
    const int task = this->task_count;
    // Simulates a pause between the check and the request.
    if (this->random.Chance(0.02)) {
      node->machine->paused = true;
      this->queue.After(this->random.DurationBelow(std::chrono::seconds(12)),
                        [node]() { node->machine->Resume(); });
    }
    node->machine->Deliver([=, this]() {
      node->machine->Call<StartAnswer>(
          [=, this]() -> std::optional<StartAnswer> {
            return this->StartOnWorker(worker, task, deadline);
          },
          [=, this](std::optional<StartAnswer> answer) {
            if (answer && !answer->started) {
              node->holder->OnFinished(TestTeam());
              return;
            }
            this->QueryWorker(node, worker, task, deadline);
          });
    });
  }
}

LimitsModel::StartAnswer LimitsModel::StartOnWorker(std::size_t worker,
                                                    int task,
                                                    Duration deadline) {
  if (this->WorkerNow(worker) > deadline) {
    this->counts.fenced += 1;
    return StartAnswer{false};
  }
  this->workers[worker].tasks[task] =
      WorkerTask{true, this->WorkerNow(worker) + kLease};
  this->running_count += 1;
  this->counts.started += 1;
  const LimitRecord& record = this->versions.back().snapshot.record;
  // After the limit is lowered, the count falls to it only as tasks end.
  const std::int64_t cap = std::max(record.limit, LimitLedger::Sum(record));
  this->counts.full += this->running_count == cap ? 1 : 0;
  if (this->running_count > cap) {
    this->Fail("task " + std::to_string(task) +
               " exceeds the limit: " + std::to_string(this->running_count) +
               " > " + std::to_string(cap));
  }
  this->queue.After(this->random.Exponential(std::chrono::seconds(2)),
                    [=, this]() { this->FinishTask(worker, task); });
  this->CheckLease(worker, task);
  return StartAnswer{true};
}

void LimitsModel::FinishTask(std::size_t worker, int task) {
  WorkerTask& entry = this->workers[worker].tasks[task];
  this->running_count -= entry.is_running ? 1 : 0;
  entry.is_running = false;
}

void LimitsModel::CheckLease(std::size_t worker, int task) {
  const WorkerTask& entry = this->workers[worker].tasks[task];
  if (!entry.is_running) {
    return;
  }
  if (this->WorkerNow(worker) >= entry.lease_until) {
    this->counts.lapsed += 1;
    this->FinishTask(worker, task);
    return;
  }
  this->queue.After(Milliseconds(100),
                    [=, this]() { this->CheckLease(worker, task); });
}

// Queries the worker and renews the task's lease until the task can no longer
// run.
void LimitsModel::QueryWorker(const NodeRef& node,
                              std::size_t worker,
                              int task,
                              Duration deadline) {
  this->Renew(node, worker, task);
  node->machine->Call<QueryAnswer>(
      [=, this]() -> std::optional<QueryAnswer> {
        const std::map<int, WorkerTask>& known = this->workers[worker].tasks;
        const std::map<int, WorkerTask>::const_iterator found =
            known.find(task);
        return QueryAnswer{found != known.end(),
                           found != known.end() && found->second.is_running,
                           this->WorkerNow(worker) > deadline};
      },
      [=, this](std::optional<QueryAnswer> answer) {
        if (answer && !answer->is_running &&
            (answer->known || answer->deadline_passed)) {
          node->holder->OnFinished(TestTeam());
          return;
        }
        this->queue.After(Milliseconds(400), [=, this]() {
          node->machine->Deliver(
              [=, this]() { this->QueryWorker(node, worker, task, deadline); });
        });
      });
}

void LimitsModel::Renew(const NodeRef& node, std::size_t worker, int task) {
  const Duration deadline = this->AuthorityDeadline(*node, worker);
  node->machine->Call<bool>(
      [=, this]() -> std::optional<bool> {
        std::map<int, WorkerTask>& known = this->workers[worker].tasks;
        const std::map<int, WorkerTask>::iterator found = known.find(task);
        const bool renewed = found != known.end() && found->second.is_running &&
                             this->WorkerNow(worker) <= deadline;
        if (renewed) {
          found->second.lease_until = this->WorkerNow(worker) + kLease;
        }
        return renewed;
      },
      [](std::optional<bool>) {});
}

}  // namespace daisyroad
