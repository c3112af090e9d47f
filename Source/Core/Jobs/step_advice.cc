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

const std::string* StepAdvice::FindTicket(const WorkerName& worker) const {
  const std::map<WorkerName, Answer>::const_iterator found =
      this->answers.find(worker);
  return found == this->answers.end() || found->second.ticket.empty()
             ? nullptr
             : &found->second.ticket;
}

void StepAdvice::Drop(const WorkerName& worker) {
  this->tickets -= this->FindTicket(worker) == nullptr ? 0 : 1;
  this->answers.erase(worker);
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

void StepAdvice::OnAsked(std::vector<WorkerName> workers) {
  this->asked = std::move(workers);
}

void StepAdvice::OnAnswer(const std::vector<PlacementTicket>& granted,
                          MonotonicTime valid_until,
                          MonotonicTime now) {
  for (const WorkerName& worker : std::exchange(this->asked, std::nullopt)
                                      .value_or(std::vector<WorkerName>())) {
    this->Drop(worker);
    this->answers[worker] = Answer{"", now + kRefusalValidity};
  }
  for (const PlacementTicket& ticket : granted) {
    this->Drop(ticket.worker);
    this->tickets += ticket.ticket.empty() ? 0 : 1;
    this->answers[ticket.worker] = Answer{ticket.ticket, valid_until};
  }
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
