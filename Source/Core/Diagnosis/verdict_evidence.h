#ifndef SOURCE_CORE_DIAGNOSIS_VERDICT_EVIDENCE_H_
#define SOURCE_CORE_DIAGNOSIS_VERDICT_EVIDENCE_H_

#include <vector>

#include "Core/Diagnosis/observation.h"
#include "Core/Diagnosis/verdict.h"

namespace daisyroad {

// The verdicts that a single observation supports and contradicts, as shown in
// the table of an explanation. The rules determine the actual verdict.
struct VerdictEvidence {
  std::vector<Verdict> supports;
  std::vector<Verdict> contradicts;
};

VerdictEvidence VerdictEvidenceOf(const ObservationDetail& detail);

}  // namespace daisyroad

#endif  // SOURCE_CORE_DIAGNOSIS_VERDICT_EVIDENCE_H_
