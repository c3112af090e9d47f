#ifndef SOURCE_CORE_DIAGNOSIS_THRESHOLDS_H_
#define SOURCE_CORE_DIAGNOSIS_THRESHOLDS_H_

#include "Core/Diagnosis/queue_delay.h"
#include "Core/Diagnosis/store_sample.h"

namespace daisyroad {

// The store answers in milliseconds (design 1.5).
constexpr Milliseconds kSlowStore{250};
// Urgent work must start within 2.7 s when the fleet is full (design 1.2).
constexpr Milliseconds kLongWait{2700};

inline bool IsBadStoreSample(const StoreSample& sample) {
  return sample.failed || sample.latency >= kSlowStore;
}

// Long work may wait as long as it runs without being overloaded.
inline bool IsLongWait(const QueueDelay& delay) {
  return delay.wait >= kLongWait && delay.wait > 2 * delay.service;
}

}  // namespace daisyroad

#endif  // SOURCE_CORE_DIAGNOSIS_THRESHOLDS_H_
