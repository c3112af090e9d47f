#ifndef SOURCE_LOAD_RUN_AUDIT_H_
#define SOURCE_LOAD_RUN_AUDIT_H_

#include <map>
#include <string>
#include <vector>

#include "Load/load_run.h"
#include "Load/start_record.h"

namespace daisyroad {

// Violated invariants of a run. Each list holds the echoes of the requests that
// violate one.
struct AuditReport {
  std::vector<std::string> lost_answers;   // gave up without a definite answer
  std::vector<std::string> wrong_answers;  // answer of another request
  std::vector<std::string> late_answers;   // answer after deadline + run time
  std::vector<std::string> doubled_runs;   // non-idempotent, ran twice
  std::vector<std::string> false_not_run;  // refused as not run, but it ran
  std::vector<std::string> done_not_run;   // answered, but no worker ran it
  std::vector<std::string> starts_in_zone_out;  // started in a zone taken out
  // Accepted with a withdrawn key.
  std::vector<std::string> withdrawn_key_accepts;
  std::map<TeamName, int> max_running;  // most concurrent tasks
};

// Compares the responses to callers with the start records of the workers.
AuditReport AuditRun(const LoadRunResult& run,
                     const std::vector<StartRecord>& starts);

// Time after its acceptance within which a change must be in force on every
// entry instance.
inline constexpr std::chrono::seconds kPropagationTime{5};

}  // namespace daisyroad

#endif  // SOURCE_LOAD_RUN_AUDIT_H_
