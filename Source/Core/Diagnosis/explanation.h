#ifndef SOURCE_CORE_DIAGNOSIS_EXPLANATION_H_
#define SOURCE_CORE_DIAGNOSIS_EXPLANATION_H_

#include <optional>
#include <string>
#include <vector>

#include "Core/Diagnosis/explanation_row.h"
#include "Core/Diagnosis/verdict.h"

namespace daisyroad {

struct Explanation {
  Verdict verdict = Verdict::kNotKnown;
  std::optional<Verdict> other;  // second verdict if two faults coincide
  std::string paragraph;
  std::vector<ExplanationRow> rows;  // sorted by time
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_DIAGNOSIS_EXPLANATION_H_
