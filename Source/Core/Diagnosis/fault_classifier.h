#ifndef SOURCE_CORE_DIAGNOSIS_FAULT_CLASSIFIER_H_
#define SOURCE_CORE_DIAGNOSIS_FAULT_CLASSIFIER_H_

#include <vector>

#include "Core/Diagnosis/explanation.h"
#include "Core/Diagnosis/finding.h"
#include "Core/Diagnosis/observation.h"
#include "Core/Diagnosis/question.h"

namespace daisyroad {

struct Declaration;

// Names the cause of a fault from observations. The order in which they are
// given does not matter.
class FaultClassifier {
 public:
  static Explanation Explain(const Question& question,
                             const Declaration& declaration,
                             const std::vector<Observation>& observations);
  // Faults found, the main cause first.
  static std::vector<Finding> Judge(
      const std::vector<Observation>& observations);
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_DIAGNOSIS_FAULT_CLASSIFIER_H_
