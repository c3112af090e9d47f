#ifndef SOURCE_CORE_JOBS_STEP_ADVICE_H_
#define SOURCE_CORE_JOBS_STEP_ADVICE_H_

#include <cstdint>
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
  // Null if there is no ticket for this process of the worker.
  const std::string* FindTicket(const WorkerName& worker,
                                std::int64_t incarnation) const;
  // Whether the advisor has said if the step may run on the worker since this
  // process of it is known.
  bool IsKnown(const WorkerName& worker, std::int64_t incarnation) const {
    return this->FindAnswer(worker, incarnation) != nullptr;
  }
  // The worker does not accept its ticket.
  void Withdraw(const WorkerName& worker, MonotonicTime now);

  // Whether a request may be sent now.
  bool MayAsk(MonotonicTime now) const {
    return !this->asked && now >= this->next_request;
  }
  // Since when the step waits for its request to be sent.
  MonotonicTime WaitingSince(MonotonicTime now);
  // `workers` with their present processes.
  void OnAsked(std::map<WorkerName, std::int64_t> workers);
  // The other workers that were asked about may not run the step.
  void OnAnswer(const std::vector<PlacementTicket>& granted,
                MonotonicTime valid_until,
                MonotonicTime now);
  void OnNoAnswer(MonotonicTime now);

 private:
  struct Answer {
    std::string ticket;  // empty: the step may not run on the worker
    std::int64_t incarnation = 0;
    MonotonicTime valid_until;
  };

  const Answer* FindAnswer(const WorkerName& worker,
                           std::int64_t incarnation) const;

  void Drop(const WorkerName& worker);

  std::map<WorkerName, Answer> answers;
  int tickets = 0;  // of the answers
  MonotonicTime next_expiry;
  // The workers of the request without an answer yet.
  std::optional<std::map<WorkerName, std::int64_t>> asked;
  std::optional<MonotonicTime> waiting_since;
  MonotonicTime next_request;
  int failures = 0;  // in a row
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_JOBS_STEP_ADVICE_H_
