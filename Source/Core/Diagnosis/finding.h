#ifndef SOURCE_CORE_DIAGNOSIS_FINDING_H_
#define SOURCE_CORE_DIAGNOSIS_FINDING_H_

#include <string>

#include "Core/Common/time.h"
#include "Core/Diagnosis/verdict.h"

namespace daisyroad {

// What one rule concluded from the observations.
struct Finding {
  Verdict verdict = Verdict::kNotKnown;
  MonotonicTime onset;  // first observation of the burst that met the rule
  std::string part;     // what was slow or lost
  std::string summary;  // one sentence
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_DIAGNOSIS_FINDING_H_
