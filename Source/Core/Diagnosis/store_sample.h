#ifndef SOURCE_CORE_DIAGNOSIS_STORE_SAMPLE_H_
#define SOURCE_CORE_DIAGNOSIS_STORE_SAMPLE_H_

#include "Core/Common/identifiers.h"
#include "Core/Common/time.h"

namespace daisyroad {

// The result of one store call made by an entry instance.
struct StoreSample {
  EntryName observer;
  ZoneName from;
  Milliseconds latency{0};
  bool failed = false;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_DIAGNOSIS_STORE_SAMPLE_H_
