#include "Core/Claims/store_absences.h"

namespace daisyroad {
namespace {

// Stretches closer to each other than this are one: several looks fall into it.
constexpr Milliseconds kGap{500};
constexpr std::size_t kMostStretches = 64;

}  // namespace

void StoreAbsences::Note(bool reaches_store, MonotonicTime now) {
  if (reaches_store) {
    return;
  }
  if (!this->list.empty() && now - this->list.back().to <= kGap) {
    this->list.back().to = now;
    return;
  }
  this->list.push_back(StoreAbsence{now, now});
  if (this->list.size() > kMostStretches) {
    this->list[1].from = this->list[0].from;
    this->list.erase(this->list.begin());
  }
}

void StoreAbsences::ForgetBefore(MonotonicTime time) {
  std::erase_if(this->list, [time](const StoreAbsence& absence) {
    return absence.to < time;
  });
}

}  // namespace daisyroad
