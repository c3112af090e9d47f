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

// The truth at the time of a view, computed without the code under test.
struct TruthSnapshot {
  MonotonicTime time;
  DownTable unplanned;
  std::map<ServiceName, std::set<WorkerName>> charged;
};

// Judges every accepted write and worker request against the rules.
class FleetChecker {
 public:
  explicit FleetChecker(ServiceTopology services)
      : topology(std::move(services)) {}

  void OnInstance(const InstanceRecord& before,
                  const InstanceRecord& after,
                  const BudgetTable& budgets,
                  const TruthSnapshot& view,
                  std::int64_t worker_incarnation,
                  MonotonicTime now);
  void OnBudget(const BudgetRecord& before,
                const BudgetRecord& after,
                const InstanceTable& records,
                const TruthSnapshot& view,
                MonotonicTime now);
  void OnReboot(const std::string& operation);
  void Fail(const std::string& rule) { this->failures.push_back(rule); }

  std::vector<std::string> failures;
  int completed = 0;

 private:
  void CheckBegin(const InstanceRecord& record,
                  const BudgetTable& budgets,
                  const TruthSnapshot& view,
                  MonotonicTime now);

  ServiceTopology topology;
  std::set<std::pair<std::string, InstanceStep>> steps;
  std::set<std::string> reboots;
};

}  // namespace daisyroad

#endif  // SOURCE_UNITTESTS_FLEET_FLEET_CHECKER_H_
