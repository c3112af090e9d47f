// Requests to the placement advisor, which decides for the steps of some queues
// on which workers they may run. It answers one request after the other.

#include <algorithm>
#include <numeric>
#include <utility>

#include "Core/Jobs/objective.h"
#include "Core/Jobs/pool_scheduler.h"

namespace daisyroad {
namespace {

// Steps without room for which a pass may send requests, so that they have
// tickets when there is room.
constexpr int kMaxAdvisedAhead = 24;
// The advisor accepts at most this many workers in one request.
constexpr std::size_t kMaxWorkersPerAdvice = 100;
// Tickets are not used within this time of their expiry, nor in the last
// quarter of their validity if that is shorter.
constexpr Milliseconds kTicketExpiryMargin{200};
// Requests follow the order of placement, except that each one of this many is
// for the step that has waited longest.
constexpr int kOldestStepInterval = 4;

}  // namespace

bool PoolScheduler::HasTickets(JobState* job,
                               const TaskRef& task,
                               MonotonicTime now) {
  if (!this->PolicyOf(*job).advice) {
    return true;
  }
  StepAdvice& advice =
      job->occurrences.at(task.occurrence).steps[task.step].advice;
  advice.Expire(now);
  if (advice.HasTicket()) {
    return true;
  }
  this->WantAdvice(job, task, now);
  return false;
}

void PoolScheduler::WantAdvice(JobState* job,
                               const TaskRef& task,
                               MonotonicTime now) {
  StepAdvice& advice =
      job->occurrences.at(task.occurrence).steps[task.step].advice;
  if (!this->PolicyOf(*job).advice || !advice.MayAsk(now)) {
    return;
  }
  const MonotonicTime since = advice.WaitingSince(now);
  if (!this->advice_window.HasRoom()) {
    return;
  }
  const TaskRef step{task.job, task.occurrence, task.step, 0};
  if (this->advice_wishes.empty() || this->advice_wishes.back().step != step) {
    this->advice_wishes.push_back(AdviceWish{job, step, since});
  }
}

void PoolScheduler::RequestAdvice(MonotonicTime now) {
  std::vector<std::size_t> oldest(this->advice_wishes.size());
  std::iota(oldest.begin(), oldest.end(), 0);
  std::stable_sort(oldest.begin(), oldest.end(),
                   [this](std::size_t left, std::size_t right) {
                     return this->advice_wishes[left].since <
                            this->advice_wishes[right].since;
                   });
  std::vector<std::size_t>::const_iterator next_oldest = oldest.begin();
  std::size_t next = 0;
  int ahead = 0;
  while (next < this->advice_wishes.size() && this->advice_window.HasRoom()) {
    const bool is_turn_of_oldest =
        this->advice_requests % kOldestStepInterval ==
            kOldestStepInterval - 1 &&
        next_oldest != oldest.end();
    const AdviceWish& wish =
        this->advice_wishes[is_turn_of_oldest ? *next_oldest++ : next++];
    this->RequestAdviceFor(wish, now, &ahead);
  }
  this->advice_wishes.clear();
}

void PoolScheduler::RequestAdviceFor(const AdviceWish& wish,
                                     MonotonicTime now,
                                     int* ahead) {
  StepState* const step = this->FindStep(wish.step);
  if (step == nullptr || !step->advice.MayAsk(now)) {
    return;
  }
  StepAdvice& advice = step->advice;
  const StepSpec& spec = this->SpecOf(*wish.job, wish.step);
  const Resources reserved = ReservedBy(spec);
  // More tickets for full workers are of no use.
  const bool may_ask_ahead = !advice.HasTicket() && *ahead < kMaxAdvisedAhead;
  std::vector<const WorkerState*> workers;
  std::vector<const WorkerState*> full_workers;
  for (const WorkerState* const worker : this->usable_workers) {
    const WorkerListing& listing = worker->listing;
    const bool has_room = reserved.FitsIn(listing.capacity - worker->used);
    if ((has_room || may_ask_ahead) && reserved.FitsIn(listing.capacity) &&
        HasLabel(listing, spec) &&
        !advice.IsKnown(listing.name, worker->incarnation)) {
      (has_room ? workers : full_workers).push_back(worker);
    }
  }
  *ahead += workers.empty() && !full_workers.empty() ? 1 : 0;
  workers.insert(workers.end(), full_workers.begin(), full_workers.end());
  workers.resize(std::min(workers.size(), kMaxWorkersPerAdvice));
  if (workers.empty()) {
    return;
  }
  const AdvicePolicy& policy = *this->PolicyOf(*wish.job).advice;
  AskAdvice ask;
  ask.step = wish.step;
  std::map<WorkerName, std::int64_t> incarnations;
  for (const WorkerState* const worker : workers) {
    ask.workers.push_back(worker->listing.name);
    incarnations[worker->listing.name] = worker->incarnation;
  }
  ask.duration =
      policy.decide + policy.per_worker * static_cast<int>(ask.workers.size());
  advice.OnAsked(std::move(incarnations));
  this->advice_window.Add(ask.duration);
  ++this->advice_requests;
  this->orders.emplace_back(std::move(ask));
}

void PoolScheduler::OnAdvice(const AskAdvice& ask,
                             const std::vector<PlacementTicket>& tickets,
                             MonotonicTime now) {
  this->advice_window.Remove(ask.duration);
  StepState* const step = this->FindStep(ask.step);
  if (step == nullptr) {
    return;
  }
  const std::optional<AdvicePolicy>& policy =
      this->PolicyOf(this->jobs.at(ask.step.job)).advice;
  const Milliseconds valid_for = policy ? policy->valid_for : Milliseconds(0);
  const Milliseconds margin = std::min(kTicketExpiryMargin, valid_for / 4);
  step->advice.OnAnswer(tickets, now + valid_for - margin, now);
  this->RecordDecision("advice", ask.step, 0, WorkerName(),
                       std::to_string(tickets.size()) + " workers");
}

void PoolScheduler::OnNoAdvice(const AskAdvice& ask, MonotonicTime now) {
  this->advice_window.Remove(ask.duration);
  if (StepState* const step = this->FindStep(ask.step)) {
    step->advice.OnNoAnswer(now);
  }
}

}  // namespace daisyroad
