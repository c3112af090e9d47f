#include "Core/Diagnosis/evidence_log.h"

#include <algorithm>

#include "Core/Diagnosis/observation_text.h"

namespace daisyroad {

EvidenceLog::EvidenceLog(std::size_t max_bytes, Duration max_age)
    : max_bytes(max_bytes), max_age(max_age) {}

void EvidenceLog::Add(const Observation& observation, MonotonicTime now) {
  while (!this->entries.empty() &&
         now - this->entries.front().observation.at > this->max_age) {
    this->DropOldest();
  }
  if (now - observation.at > this->max_age) {
    return;
  }
  const Entry entry{observation,
                    sizeof(Entry) + ObservationTextBytes(observation.detail)};
  const auto position =
      std::upper_bound(this->entries.begin(), this->entries.end(), entry,
                       [](const Entry& left, const Entry& right) {
                         return left.observation.at < right.observation.at;
                       });
  this->entries.insert(position, entry);
  this->held_bytes += entry.bytes;
  while (this->held_bytes > this->max_bytes) {
    this->DropOldest();
  }
}

std::vector<Observation> EvidenceLog::Between(MonotonicTime from,
                                              MonotonicTime to) const {
  std::vector<Observation> found;
  for (const Entry& entry : this->entries) {
    if (entry.observation.at >= from && entry.observation.at <= to) {
      found.push_back(entry.observation);
    }
  }
  return found;
}

void EvidenceLog::DropOldest() {
  this->held_bytes -= this->entries.front().bytes;
  this->entries.pop_front();
}

}  // namespace daisyroad
