#include "Core/Claims/store_absences.h"

namespace daisyroad {
namespace {

// Failed checks with a smaller gap belong to one interval. Several checks fall
// into this time.
constexpr Milliseconds kMaxMergeGap{500};
constexpr std::size_t kMaxAbsences = 64;

}  // namespace

void StoreAbsences::RecordReachability(bool reaches_store, MonotonicTime now) {
  if (reaches_store) {
    return;
  }
  if (!this->absences.empty() &&
      now - this->absences.back().to <= kMaxMergeGap) {
    this->absences.back().to = now;
    return;
  }
  this->absences.push_back(StoreAbsence{now, now});
  if (this->absences.size() > kMaxAbsences) {
    this->absences[1].from = this->absences[0].from;
    this->absences.erase(this->absences.begin());
  }
}

void StoreAbsences::ForgetBefore(MonotonicTime time) {
  std::erase_if(this->absences, [time](const StoreAbsence& absence) {
    return absence.to < time;
  });
}

}  // namespace daisyroad
