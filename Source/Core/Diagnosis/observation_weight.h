#ifndef SOURCE_CORE_DIAGNOSIS_OBSERVATION_WEIGHT_H_
#define SOURCE_CORE_DIAGNOSIS_OBSERVATION_WEIGHT_H_

#include <vector>

#include "Core/Diagnosis/observation.h"
#include "Core/Diagnosis/verdict.h"

namespace daisyroad {

// Verdicts that one observation speaks for and against, for the table of an
// explanation. The verdict itself comes from the rules.
struct ObservationWeight {
  std::vector<Verdict> speaks_for;
  std::vector<Verdict> speaks_against;
};

ObservationWeight WeighObservation(const ObservationDetail& detail);

}  // namespace daisyroad

#endif  // SOURCE_CORE_DIAGNOSIS_OBSERVATION_WEIGHT_H_
