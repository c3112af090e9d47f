#ifndef SOURCE_LOAD_PLANNED_CALL_H_
#define SOURCE_LOAD_PLANNED_CALL_H_

#include <optional>
#include <string>

#include "Core/Common/identifiers.h"
#include "Core/Common/time.h"

namespace daisyroad {

// One request of a run, generated before the run starts.
struct PlannedCall {
  Milliseconds at{0};  // after the start of the run
  std::string echo;    // unique in the run; returned in the answer
  TeamName team;       // empty: sent without a key of a team
  QueueName queue;
  bool idempotent = false;
  bool has_idempotency_key = true;  // sends an Idempotency-Key
  Milliseconds run{10};
  Milliseconds deadline{10000};
  double cores = 1.0;  // declared to daisyroad; may be wrong on purpose
  double memory_gb = 1.0;
  int answer_bytes = 0;
  bool fails = false;
  std::optional<Milliseconds> cancel_after;
};

}  // namespace daisyroad

#endif  // SOURCE_LOAD_PLANNED_CALL_H_
