#ifndef SOURCE_UNITTESTS_FLEET_FLEET_CHECKER_H_
#define SOURCE_UNITTESTS_FLEET_FLEET_CHECKER_H_

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Core/Fleet/disruption_budget.h"
#include "Core/Fleet/fleet_action.h"

namespace daisyroad {

// Actual state of the fleet when an entry instance took its view, computed
// without the code under test.
struct GroundTruth {
  MonotonicTime time;
  DownTable unplanned;
  std::map<ServiceName, std::set<WorkerName>> charged;
};

// Checks every accepted write and every reboot against the rules of operations
// and budgets.
class FleetChecker {
 public:
  explicit FleetChecker(ServiceTopology services)
      : topology(std::move(services)) {}

  void OnInstanceWrite(const InstanceRecord& before,
                       const InstanceRecord& after,
                       const BudgetTable& budgets,
                       const GroundTruth& truth,
                       std::int64_t worker_incarnation,
                       MonotonicTime now);
  void OnBudgetWrite(const BudgetRecord& before,
                     const BudgetRecord& after,
                     const InstanceTable& records,
                     const GroundTruth& truth,
                     MonotonicTime now);
  void OnReboot(const std::string& operation);
  void Fail(const std::string& rule) { this->failures.push_back(rule); }

  std::vector<std::string> failures;
  int completed = 0;  // operations that reached kHandedOver

 private:
  void CheckDrainStart(const InstanceRecord& record,
                       const BudgetTable& budgets,
                       const GroundTruth& truth,
                       MonotonicTime now);

  ServiceTopology topology;
  // Operation and step of every write so far.
  std::set<std::pair<std::string, InstanceStep>> past_steps;
  // Operations that have rebooted their worker.
  std::set<std::string> rebooted;
};

}  // namespace daisyroad

#endif  // SOURCE_UNITTESTS_FLEET_FLEET_CHECKER_H_
