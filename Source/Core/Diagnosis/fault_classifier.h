#ifndef SOURCE_CORE_DIAGNOSIS_FAULT_CLASSIFIER_H_
#define SOURCE_CORE_DIAGNOSIS_FAULT_CLASSIFIER_H_

#include <vector>

#include "Core/Diagnosis/explanation.h"
#include "Core/Diagnosis/finding.h"
#include "Core/Diagnosis/observation.h"
#include "Core/Diagnosis/question.h"

namespace daisyroad {

struct Declaration;

// Determines the cause of a fault from observations. The result does not depend
// on the order in which the observations are passed to Explain().
class FaultClassifier {
 public:
  static Explanation Explain(const Question& question,
                             const Declaration& declaration,
                             const std::vector<Observation>& observations);
  // Returns the detected faults, the main cause first.
  static std::vector<Finding> FindFaults(
      const std::vector<Observation>& observations);
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_DIAGNOSIS_FAULT_CLASSIFIER_H_
