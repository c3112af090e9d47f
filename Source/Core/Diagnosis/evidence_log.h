#ifndef SOURCE_CORE_DIAGNOSIS_EVIDENCE_LOG_H_
#define SOURCE_CORE_DIAGNOSIS_EVIDENCE_LOG_H_

#include <cstddef>
#include <deque>
#include <vector>

#include "Core/Common/time.h"
#include "Core/Diagnosis/observation.h"

namespace daisyroad {

// Stores the most recent observations, limited by total size and by age.
class EvidenceLog {
 public:
  EvidenceLog(std::size_t max_bytes, Duration max_age);

  // Observations may arrive late and in any order. Those older than the maximum
  // age are dropped.
  void Add(const Observation& observation, MonotonicTime now);
  // Returns the observations from `from` to `to`, inclusive, sorted by time.
  std::vector<Observation> Between(MonotonicTime from, MonotonicTime to) const;
  // Memory used by the entries, including the strings of the observations.
  std::size_t bytes() const { return this->held_bytes; }
  std::size_t size() const { return this->entries.size(); }

 private:
  struct Entry {
    Observation observation;
    std::size_t bytes;
  };

  void DropOldest();

  std::size_t max_bytes;
  Duration max_age;
  std::size_t held_bytes = 0;
  std::deque<Entry> entries;  // sorted by time
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_DIAGNOSIS_EVIDENCE_LOG_H_
