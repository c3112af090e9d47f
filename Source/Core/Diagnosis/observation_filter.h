#ifndef SOURCE_CORE_DIAGNOSIS_OBSERVATION_FILTER_H_
#define SOURCE_CORE_DIAGNOSIS_OBSERVATION_FILTER_H_

#include <vector>

#include "Core/Common/time.h"
#include "Core/Diagnosis/observation.h"

namespace daisyroad {

// Calls `callback(at, detail)` for each observation of one type.
template <typename Detail, typename Callback>
void ForEach(const std::vector<Observation>& observations, Callback callback) {
  for (const Observation& observation : observations) {
    const Detail* const detail = std::get_if<Detail>(&observation.detail);
    if (detail != nullptr) {
      callback(observation.at, *detail);
    }
  }
}

// Returns the times of all observations of one type that meet the condition.
template <typename Detail, typename Condition>
std::vector<MonotonicTime> TimesOf(const std::vector<Observation>& observations,
                                   Condition condition) {
  std::vector<MonotonicTime> times;
  ForEach<Detail>(observations, [&](MonotonicTime at, const Detail& detail) {
    if (condition(detail)) {
      times.push_back(at);
    }
  });
  return times;
}

}  // namespace daisyroad

#endif  // SOURCE_CORE_DIAGNOSIS_OBSERVATION_FILTER_H_
