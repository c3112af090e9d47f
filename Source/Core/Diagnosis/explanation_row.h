#ifndef SOURCE_CORE_DIAGNOSIS_EXPLANATION_ROW_H_
#define SOURCE_CORE_DIAGNOSIS_EXPLANATION_ROW_H_

#include <string>

#include "Core/Common/time.h"

namespace daisyroad {

struct ExplanationRow {
  MonotonicTime at;
  std::string observation;
  std::string supports;     // verdict names separated by ", "; may be empty
  std::string contradicts;  // same format
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_DIAGNOSIS_EXPLANATION_ROW_H_
