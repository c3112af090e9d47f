#ifndef SOURCE_CORE_DIAGNOSIS_EVIDENCE_LOG_H_
#define SOURCE_CORE_DIAGNOSIS_EVIDENCE_LOG_H_

#include <cstddef>
#include <deque>
#include <vector>

#include "Core/Common/time.h"
#include "Core/Diagnosis/observation.h"

namespace daisyroad {

// Keeps the latest observations, bounded in bytes and by age.
class EvidenceLog {
 public:
  EvidenceLog(std::size_t max_bytes, Duration max_age);

  // Observations may arrive late and in any order. One that is older than the
  // age bound is dropped.
  void Add(const Observation& observation, MonotonicTime now);
  // By time, both ends included.
  std::vector<Observation> Between(MonotonicTime from, MonotonicTime to) const;
  // Bytes held, the texts of the observations included.
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
  std::deque<Entry> entries;  // by time
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_DIAGNOSIS_EVIDENCE_LOG_H_
