#ifndef SOURCE_CORE_DIAGNOSIS_THRESHOLDS_H_
#define SOURCE_CORE_DIAGNOSIS_THRESHOLDS_H_

#include "Core/Diagnosis/queue_delay.h"
#include "Core/Diagnosis/store_sample.h"

namespace daisyroad {

// The store normally answers within milliseconds (design 1.5).
constexpr Milliseconds kSlowStoreLatency{250};
// Urgent tasks must start within 2.7 s when the fleet is full (design 1.2).
constexpr Milliseconds kMinLongWait{2700};

inline bool IsBadStoreSample(const StoreSample& sample) {
  return sample.failed || sample.latency >= kSlowStoreLatency;
}

// The wait is also compared to the run time: long tasks may wait as long as
// they run without the pool being overloaded.
inline bool IsLongWait(const QueueDelay& delay) {
  return delay.wait >= kMinLongWait && delay.wait > 2 * delay.service;
}

}  // namespace daisyroad

#endif  // SOURCE_CORE_DIAGNOSIS_THRESHOLDS_H_
