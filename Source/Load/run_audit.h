#ifndef SOURCE_LOAD_RUN_AUDIT_H_
#define SOURCE_LOAD_RUN_AUDIT_H_

#include <map>
#include <string>
#include <vector>

#include "Load/load_run.h"
#include "Load/start_record.h"

namespace daisyroad {

// Broken promises of a run. Each list names the requests concerned by echo.
struct AuditReport {
  std::vector<std::string> lost;           // gave up without a definite answer
  std::vector<std::string> wrong;          // answer of another request
  std::vector<std::string> late;           // answer after its deadline
  std::vector<std::string> doubled;        // non-idempotent, ran twice
  std::vector<std::string> false_not_run;  // refused as not run, but it ran
  std::vector<std::string> done_not_run;   // answered, but no worker ran it
  std::vector<std::string> out_zone_starts;    // started in a zone taken out
  std::vector<std::string> withdrawn_accepts;  // accepted with a withdrawn key
  std::map<TeamName, int> most_running;        // at once, by team
};

// Compares what callers were told with what the workers recorded.
AuditReport AuditRun(const LoadRunResult& run,
                     const std::vector<StartRecord>& starts);

// Time for which a change may not yet be in force everywhere after it was
// accepted.
inline constexpr std::chrono::seconds kInForceTime{5};

}  // namespace daisyroad

#endif  // SOURCE_LOAD_RUN_AUDIT_H_
