#ifndef SOURCE_CORE_DIAGNOSIS_DIAGNOSIS_RULES_H_
#define SOURCE_CORE_DIAGNOSIS_DIAGNOSIS_RULES_H_

#include <optional>
#include <vector>

#include "Core/Diagnosis/finding.h"
#include "Core/Diagnosis/observation.h"

namespace daisyroad {

// Each rule detects one kind of fault. The observations must be sorted by time.
using DiagnosisRule =
    std::optional<Finding> (*)(const std::vector<Observation>& observations);

std::optional<Finding> FindPathCut(const std::vector<Observation>&);
std::optional<Finding> FindIsolatedZone(const std::vector<Observation>&);
std::optional<Finding> FindSilentConnections(const std::vector<Observation>&);
std::optional<Finding> FindWorkerPathCut(const std::vector<Observation>&);
std::optional<Finding> FindStorePathCut(const std::vector<Observation>&);
std::optional<Finding> FindStoreFault(const std::vector<Observation>&);
std::optional<Finding> FindFailingWorker(const std::vector<Observation>&);
std::optional<Finding> FindRestartedWorker(const std::vector<Observation>&);
std::optional<Finding> FindDeadWorker(const std::vector<Observation>&);
std::optional<Finding> FindConfigurationFault(const std::vector<Observation>&);
std::optional<Finding> FindOverload(const std::vector<Observation>&);
std::optional<Finding> FindShortDeadlines(const std::vector<Observation>&);

}  // namespace daisyroad

#endif  // SOURCE_CORE_DIAGNOSIS_DIAGNOSIS_RULES_H_
