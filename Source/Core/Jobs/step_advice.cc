#include "Core/Jobs/step_advice.h"

#include <algorithm>
#include <utility>

namespace daisyroad {
namespace {

// Which workers may run a step does not change, but the advisor may have known
// too little of a worker that has just started.
constexpr Milliseconds kRefusalValidity{10000};
// Delay before a request without an answer is sent again; doubled with each
// further one, so that other steps get their turn.
constexpr Milliseconds kRetryDelay{300};
constexpr int kMaxRetryFactor = 16;

}  // namespace

void StepAdvice::Expire(MonotonicTime now) {
  if (this->answers.empty() || now < this->next_expiry) {
    return;
  }
  this->next_expiry = MonotonicTime::max();
  for (std::map<WorkerName, Answer>::iterator answer = this->answers.begin();
       answer != this->answers.end();) {
    if (answer->second.valid_until <= now) {
      this->tickets -= answer->second.ticket.empty() ? 0 : 1;
      answer = this->answers.erase(answer);
    } else {
      this->next_expiry =
          std::min(this->next_expiry, answer->second.valid_until);
      ++answer;
    }
  }
}

const StepAdvice::Answer* StepAdvice::FindAnswer(
    const WorkerName& worker,
    std::int64_t incarnation) const {
  const std::map<WorkerName, Answer>::const_iterator found =
      this->answers.find(worker);
  return found == this->answers.end() ||
                 found->second.incarnation != incarnation
             ? nullptr
             : &found->second;
}

const std::string* StepAdvice::FindTicket(const WorkerName& worker,
                                          std::int64_t incarnation) const {
  const Answer* const answer = this->FindAnswer(worker, incarnation);
  return answer == nullptr || answer->ticket.empty() ? nullptr
                                                     : &answer->ticket;
}

void StepAdvice::Drop(const WorkerName& worker) {
  const std::map<WorkerName, Answer>::iterator found =
      this->answers.find(worker);
  if (found != this->answers.end()) {
    this->tickets -= found->second.ticket.empty() ? 0 : 1;
    this->answers.erase(found);
  }
}

void StepAdvice::Withdraw(const WorkerName& worker, MonotonicTime now) {
  this->Drop(worker);
  this->next_request = std::max(this->next_request, now + kRetryDelay);
}

MonotonicTime StepAdvice::WaitingSince(MonotonicTime now) {
  if (!this->waiting_since) {
    this->waiting_since = now;
  }
  return *this->waiting_since;
}

void StepAdvice::OnAsked(std::map<WorkerName, std::int64_t> workers) {
  this->asked = std::move(workers);
}

void StepAdvice::OnAnswer(const std::vector<PlacementTicket>& granted,
                          MonotonicTime valid_until,
                          MonotonicTime now) {
  if (!this->asked) {
    return;
  }
  for (const std::pair<const WorkerName, std::int64_t>& worker : *this->asked) {
    this->Drop(worker.first);
    this->answers[worker.first] =
        Answer{"", worker.second, now + kRefusalValidity};
  }
  for (const PlacementTicket& ticket : granted) {
    const std::map<WorkerName, Answer>::iterator answer =
        this->answers.find(ticket.worker);
    if (this->asked->contains(ticket.worker) && !ticket.ticket.empty() &&
        answer->second.ticket.empty()) {
      answer->second.ticket = ticket.ticket;
      answer->second.valid_until = valid_until;
      ++this->tickets;
    }
  }
  this->asked.reset();
  this->next_expiry = now;
  this->waiting_since.reset();
  this->failures = 0;
}

void StepAdvice::OnNoAnswer(MonotonicTime now) {
  this->asked.reset();
  this->next_request =
      now +
      kRetryDelay * std::min(1 << std::min(this->failures, 8), kMaxRetryFactor);
  ++this->failures;
}

}  // namespace daisyroad
