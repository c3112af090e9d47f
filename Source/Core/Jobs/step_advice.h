#ifndef SOURCE_CORE_JOBS_STEP_ADVICE_H_
#define SOURCE_CORE_JOBS_STEP_ADVICE_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Core/Common/identifiers.h"
#include "Core/Common/time.h"
#include "Core/Jobs/placement_ticket.h"

namespace daisyroad {

// What the placement advisor has said about the workers for one step.
class StepAdvice {
 public:
  // Drops the answers that are no longer valid.
  void Expire(MonotonicTime now);
  bool HasTicket() const { return this->tickets > 0; }
  // Null if there is no ticket for the worker.
  const std::string* FindTicket(const WorkerName& worker) const;
  // Whether the advisor has said if the step may run on the worker.
  bool IsKnown(const WorkerName& worker) const {
    return this->answers.contains(worker);
  }
  // The worker does not accept its ticket.
  void Withdraw(const WorkerName& worker, MonotonicTime now);

  // Whether a request may be sent now.
  bool MayAsk(MonotonicTime now) const {
    return !this->asked && now >= this->next_request;
  }
  // Since when the step waits for its request to be sent.
  MonotonicTime WaitingSince(MonotonicTime now);
  void OnAsked(std::vector<WorkerName> workers);
  // The other workers that were asked about may not run the step.
  void OnAnswer(const std::vector<PlacementTicket>& granted,
                MonotonicTime valid_until,
                MonotonicTime now);
  void OnNoAnswer(MonotonicTime now);

 private:
  struct Answer {
    std::string ticket;  // empty: the step may not run on the worker
    MonotonicTime valid_until;
  };

  void Drop(const WorkerName& worker);

  std::map<WorkerName, Answer> answers;
  int tickets = 0;  // of the answers
  MonotonicTime next_expiry;
  // The workers of the request without an answer yet.
  std::optional<std::vector<WorkerName>> asked;
  std::optional<MonotonicTime> waiting_since;
  MonotonicTime next_request;
  int failures = 0;  // in a row
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_JOBS_STEP_ADVICE_H_
