#include "UnitTests/Claims/claims_model.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace daisyroad {
namespace {

constexpr Duration kFreshness = std::chrono::seconds(3);
constexpr Duration kRunTime = std::chrono::seconds(25);
constexpr std::size_t kNodes = 3;
constexpr std::size_t kWorkers = 2;
constexpr std::uint64_t kKeys = 6;

}  // namespace

ClaimsModel::ClaimsModel(std::uint64_t seed) : random(seed), workers(kWorkers) {
  for (std::size_t i = 0; i < kNodes; ++i) {
    this->AddNode();
  }
}

ClaimsModel::~ClaimsModel() {
  for (const std::shared_ptr<FakeProcess>& machine : this->machines) {
    machine->End();
  }
}

std::string ClaimsModel::Run(Totals* totals) {
  this->ChangeRoster();
  for (int i = 0; i < 12; ++i) {
    this->queue.After(this->random.DurationBelow(kRunTime),
                      [this]() { this->RandomFault(); });
  }
  for (int i = 0; i < 40; ++i) {
    this->queue.After(this->random.DurationBelow(kRunTime),
                      [this]() { this->SubmitToRandomNode(); });
  }
  this->queue.RunUntil(kRunTime + std::chrono::seconds(5));
  totals->keys += kKeys;
  totals->runs += this->runs_by_key.size();
  totals->not_run += this->answered_not_run.size();
  totals->unknown += this->counts.unknown;
  totals->memory_claims += this->counts.memory_claims;
  return this->failure;
}

void ClaimsModel::Fail(const std::string& text) {
  if (this->failure.empty()) {
    this->failure = text;
  }
}

void ClaimsModel::AddNode() {
  const NodeRef node = std::make_shared<Node>();
  node->name = EntryName("e" + std::to_string(this->node_count));
  node->zone = ZoneName(this->node_count % 2 == 0 ? "za" : "zb");
  this->node_count += 1;
  node->machine = std::make_shared<FakeProcess>(&this->queue, &this->random);
  this->machines.push_back(node->machine);
  node->registry =
      std::make_unique<ClaimRegistry>(node->name, ClaimRegistry::Options());
  this->nodes.push_back(node);
  this->PollPeriodically(Milliseconds(20), node);
}

void ClaimsModel::PollPeriodically(Duration period, const NodeRef& node) {
  if (!node->machine->alive || this->queue.now() > kRunTime) {
    return;
  }
  if (!node->machine->paused) {
    this->Poll(node);
  }
  this->queue.After(
      period, [this, period, node]() { this->PollPeriodically(period, node); });
}

bool ClaimsModel::IsOutageAgreed(const Node& node) const {
  // Peers that know a later epoch report it within the freshness bound.
  return this->outage && !node.machine->cut &&
         this->queue.now() - this->outage_since > kFreshness &&
         node.epoch == this->rosters.back().epoch;
}

void ClaimsModel::Poll(const NodeRef& node) {
  const bool agreed = this->IsOutageAgreed(*node);
  if (!node->machine->cut && (agreed || !this->outage)) {
    node->authority_until = this->queue.now() + kFreshness;
  }
  this->Perform(node, node->registry->SetAgreedOutage(agreed));
  this->Perform(node, node->registry->Tick(node->machine->Clock()));
}

void ClaimsModel::RandomFault() {
  const NodeRef node = this->nodes[this->random.Below(this->nodes.size())];
  const std::shared_ptr<FakeProcess> machine = node->machine;
  const Duration length = this->random.DurationBelow(std::chrono::seconds(8));
  switch (this->random.Below(6)) {
    case 0:
      machine->End();
      std::erase(this->nodes, node);
      this->AddNode();
      this->ChangeRoster();
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
      this->had_outage = true;
      this->outage_since =
          this->outage ? this->outage_since : this->queue.now();
      this->outage = true;
      this->queue.After(length, [this]() { this->outage = false; });
      break;
    default:
      this->ChangeRoster();
  }
}

// Starts an epoch. Most paused or cut-off nodes and some others are left out of
// the new roster.
void ClaimsModel::ChangeRoster() {
  if (this->outage) {
    this->queue.After(std::chrono::seconds(1),
                      [this]() { this->ChangeRoster(); });
    return;
  }
  ClaimRoster roster;
  roster.epoch = this->rosters.size() + 1;
  for (const NodeRef& node : this->nodes) {
    const bool is_unavailable = node->machine->paused || node->machine->cut;
    if (this->rosters.empty() ||
        !this->random.Chance(is_unavailable ? 0.8 : 0.2)) {
      roster.members.push_back(ClaimMember{node->name, node->zone});
    }
  }
  if (roster.members.empty()) {
    return;
  }
  this->rosters.push_back(roster);
  for (const NodeRef& node : this->nodes) {
    this->DeliverRoster(node, roster.epoch);
  }
}

void ClaimsModel::DeliverRoster(const NodeRef& node, std::uint64_t epoch) {
  const Duration delay = this->random.DurationBelow(
      this->random.Chance(0.5) ? Duration(Milliseconds(20))
                               : Duration(std::chrono::seconds(2)));
  this->queue.After(delay, [this, node, epoch]() {
    if (node->machine->cut) {
      this->DeliverRoster(node, epoch);
      return;
    }
    node->machine->Deliver([this, node, epoch]() {
      if (epoch <= node->epoch) {
        return;
      }
      node->epoch = epoch;
      const std::vector<ClaimRoster> previous(
          this->rosters.begin(),
          this->rosters.begin() + static_cast<std::ptrdiff_t>(epoch - 1));
      this->Perform(node, node->registry->StartEpoch(this->rosters[epoch - 1],
                                                     previous, this->had_outage,
                                                     node->machine->Clock()));
    });
  });
}

void ClaimsModel::SubmitToRandomNode() {
  const NodeRef node = this->nodes[this->random.Below(this->nodes.size())];
  const std::uint64_t number = this->random.Below(kKeys);
  const std::string key = (number < 2 ? "za/k" : "k") + std::to_string(number);
  this->task_count += 1;
  const std::string task = "t" + std::to_string(this->task_count);
  node->machine->Deliver(
      [this, node, key, task]() { this->Submit(node, key, task, 0); });
}

void ClaimsModel::Submit(const NodeRef& node,
                         const std::string& key,
                         const std::string& task,
                         int hops) {
  using Outcome = ClaimRegistry::Outcome;
  std::pair<ClaimRegistry::Answer, std::vector<ClaimAction>> result =
      node->registry->Submit(key, TaskId(task), node->machine->Clock());
  const ClaimRegistry::Answer& answer = result.first;
  if (answer.outcome == Outcome::kNotRegistrar && hops < 2) {
    for (const NodeRef& other : this->nodes) {
      if (other->name == answer.registrar) {
        other->machine->Deliver([this, other, key, task, hops]() {
          this->Submit(other, key, task, hops + 1);
        });
      }
    }
    return;
  }
  const bool claimed = answer.outcome == Outcome::kClaiming;
  if (claimed && !result.second.empty()) {
    this->counts.memory_claims += 1;
  }
  if (answer.outcome == Outcome::kUnknown) {
    this->counts.unknown += 1;
  }
  if (answer.outcome == Outcome::kDuplicate &&
      answer.state == ClaimState::kRan && this->runs_by_key[key] == 0) {
    this->Fail(key + " was answered `ran` but did not run");
  }
  if (!claimed && answer.outcome != Outcome::kUnknown &&
      answer.outcome != Outcome::kDuplicate) {
    this->AnswerNotRun(task);
  }
  this->Perform(node, std::move(result.second));
}

void ClaimsModel::AnswerNotRun(const std::string& task) {
  this->answered_not_run.insert(task);
  if (this->started.contains(task)) {
    this->Fail(task + " was answered `not_run` but had run");
  }
}

void ClaimsModel::Perform(const NodeRef& node,
                          std::vector<ClaimAction> actions) {
  struct Visitor {
    ClaimsModel* model;
    const NodeRef& node;
    void operator()(const CreateBatch& action) {
      this->model->Create(this->node, action);
    }
    void operator()(const ReadLog& action) {
      this->model->Read(this->node, action);
    }
    void operator()(const TrimLog& action) {
      std::map<std::uint64_t, Stored>& log = this->model->store[action.log];
      log.erase(log.lower_bound(1), log.lower_bound(action.below));
    }
    void operator()(const ClaimReady& action) {
      this->model->SendTask(this->node, action);
    }
    void operator()(const ClaimRefused& action) {
      this->model->AnswerNotRun(action.task.str());
    }
  };
  for (const ClaimAction& action : actions) {
    std::visit(Visitor{this, node}, action);
  }
}

void ClaimsModel::Create(const NodeRef& node, const CreateBatch& action) {
  node->machine->Call<CreateOutcome>(
      [this, action]() -> std::optional<CreateOutcome> {
        if (this->outage) {
          return std::nullopt;
        }
        const bool created =
            this->store[action.log]
                .emplace(action.seq, Stored{action.batch, this->queue.now()})
                .second;
        return created ? CreateOutcome::kCreated : CreateOutcome::kExists;
      },
      [this, node, action](std::optional<CreateOutcome> outcome) {
        this->Perform(node, node->registry->OnCreateAnswer(
                                action.log, action.seq,
                                outcome.value_or(CreateOutcome::kNoAnswer),
                                node->machine->Clock()));
      });
}

void ClaimsModel::Read(const NodeRef& node, const ReadLog& action) {
  const Duration staleness =
      this->random.Chance(0.2)
          ? this->random.DurationBelow(std::chrono::seconds(1))
          : Duration::zero();
  node->machine->Call<LogPage>(
      [this, action, staleness]() -> std::optional<LogPage> {
        if (this->outage) {
          return std::nullopt;
        }
        LogPage page;
        const std::map<std::uint64_t, Stored>& log = this->store[action.log];
        for (std::map<std::uint64_t, Stored>::const_iterator item =
                 log.lower_bound(action.from);
             item != log.end() && page.size() < 3 &&
             item->second.created + staleness <= this->queue.now();
             ++item) {
          page.emplace_back(item->first, item->second.batch);
        }
        return page;
      },
      [this, node, action](const std::optional<LogPage>& page) {
        this->Perform(
            node, node->registry->OnReadAnswer(action.log, action.from, page,
                                               node->machine->Clock()));
      });
}

ClaimsModel::StartAnswer ClaimsModel::StartOnWorker(std::size_t worker,
                                                    const std::string& key,
                                                    const std::string& task,
                                                    Duration deadline) {
  if (this->workers[worker].known.contains(task)) {
    return {StartAnswer::Kind::kKnown};
  }
  if (this->queue.now() > deadline) {
    return {StartAnswer::Kind::kExpired};
  }
  if (this->random.Chance(0.2)) {
    return {StartAnswer::Kind::kFull};
  }
  this->workers[worker].known.insert(task);
  this->started.insert(task);
  this->runs_by_key[key] += 1;
  if (this->runs_by_key[key] > 1) {
    this->Fail(key + " ran twice");
  }
  if (this->answered_not_run.contains(task)) {
    this->Fail(task + " ran after it was answered `not_run`");
  }
  return {StartAnswer::Kind::kStarted};
}

void ClaimsModel::SendTask(const NodeRef& node, const ClaimReady& action) {
  const std::size_t worker = this->random.Below(this->workers.size());
  const Duration deadline = node->authority_until;
  const std::string key = action.key;
  const std::string task = action.task.str();
  node->machine->Call<StartAnswer>(
      [this, worker, key, task, deadline]() -> std::optional<StartAnswer> {
        return this->StartOnWorker(worker, key, task, deadline);
      },
      [this, node, worker, key, task,
       deadline](std::optional<StartAnswer> answer) {
        if (!answer) {
          this->QueryWorker(node, key, task, worker, deadline, 8);
          return;
        }
        const bool ran = answer->kind == StartAnswer::Kind::kStarted ||
                         answer->kind == StartAnswer::Kind::kKnown;
        this->HandleFate(node, key, task,
                         ran ? ClaimState::kRan : ClaimState::kNotRun);
      });
}

void ClaimsModel::QueryWorker(const NodeRef& node,
                              const std::string& key,
                              const std::string& task,
                              std::size_t worker,
                              Duration deadline,
                              int attempts) {
  node->machine->Call<QueryAnswer>(
      [this, worker, task, deadline]() -> std::optional<QueryAnswer> {
        return QueryAnswer{this->workers[worker].known.contains(task),
                           this->queue.now() > deadline};
      },
      [this, node, key, task, worker, deadline,
       attempts](std::optional<QueryAnswer> answer) {
        if (answer && (answer->known || answer->deadline_passed)) {
          this->HandleFate(
              node, key, task,
              answer->known ? ClaimState::kRan : ClaimState::kNotRun);
        } else if (attempts == 0) {
          this->HandleFate(node, key, task, ClaimState::kUnknown);
        } else {
          this->queue.After(std::chrono::seconds(1), [=, this]() {
            node->machine->Deliver([=, this]() {
              this->QueryWorker(node, key, task, worker, deadline,
                                attempts - 1);
            });
          });
        }
      });
}

void ClaimsModel::HandleFate(const NodeRef& node,
                             const std::string& key,
                             const std::string& task,
                             ClaimState state) {
  node->registry->OnFate(key, TaskId(task), state, node->machine->Clock());
  if (state != ClaimState::kNotRun) {
    return;
  }
  this->AnswerNotRun(task);
  if (this->random.Chance(0.7)) {
    this->task_count += 1;
    this->Submit(node, key, "t" + std::to_string(this->task_count), 0);
  }
}

}  // namespace daisyroad
