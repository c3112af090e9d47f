#ifndef SOURCE_CORE_DIAGNOSIS_FINDING_H_
#define SOURCE_CORE_DIAGNOSIS_FINDING_H_

#include <string>

#include "Core/Common/time.h"
#include "Core/Diagnosis/verdict.h"

namespace daisyroad {

// The conclusion that one rule drew from the observations.
struct Finding {
  Verdict verdict = Verdict::kNotKnown;
  MonotonicTime onset;  // first observation of the burst that matched the rule
  std::string affected_part;  // the part of the system that was slow or lost
  std::string summary;        // one sentence
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_DIAGNOSIS_FINDING_H_
