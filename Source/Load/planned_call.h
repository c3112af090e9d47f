#ifndef SOURCE_LOAD_PLANNED_CALL_H_
#define SOURCE_LOAD_PLANNED_CALL_H_

#include <optional>
#include <string>

#include "Core/Common/identifiers.h"
#include "Core/Common/time.h"

namespace daisyroad {

// One request of a run, fixed before the run starts.
struct PlannedCall {
  Milliseconds at{0};  // after the start of the run
  std::string echo;    // unique in the run; comes back in the answer
  TeamName team;       // empty: sent without a key of a team
  QueueName queue;
  bool idempotent = false;
  bool with_key = true;  // sends an Idempotency-Key
  Milliseconds run{10};
  Milliseconds deadline{10000};
  double cores = 1.0;  // as declared to daisyroad, right or wrong
  double memory_gb = 1.0;
  int answer_bytes = 0;
  bool fails = false;
  std::optional<Milliseconds> cancel_after;
};

}  // namespace daisyroad

#endif  // SOURCE_LOAD_PLANNED_CALL_H_
