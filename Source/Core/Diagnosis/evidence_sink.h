#ifndef SOURCE_CORE_DIAGNOSIS_EVIDENCE_SINK_H_
#define SOURCE_CORE_DIAGNOSIS_EVIDENCE_SINK_H_

#include "Core/Diagnosis/observation.h"

namespace daisyroad {

// Receives observations from the services of an entry instance.
class EvidenceSink {
 public:
  virtual ~EvidenceSink() = default;
  // `at` is when the observed call or event began.
  virtual void Record(MonotonicTime at, ObservationDetail detail) = 0;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_DIAGNOSIS_EVIDENCE_SINK_H_
