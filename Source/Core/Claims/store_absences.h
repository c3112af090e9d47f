#ifndef SOURCE_CORE_CLAIMS_STORE_ABSENCES_H_
#define SOURCE_CORE_CLAIMS_STORE_ABSENCES_H_

#include <vector>

#include "Core/Common/time.h"

namespace daisyroad {

// A stretch of time in which an instance did not reach the store.
struct StoreAbsence {
  MonotonicTime from;
  MonotonicTime to;
};

// The stretches in which this instance did not reach the store. Bounded: old
// ones are joined, which makes them longer, never shorter.
class StoreAbsences {
 public:
  // To be called at every look at the store's reach.
  void Note(bool reaches_store, MonotonicTime now);
  void ForgetBefore(MonotonicTime time);
  const std::vector<StoreAbsence>& stretches() const { return this->list; }

 private:
  std::vector<StoreAbsence> list;  // in order of time
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_CLAIMS_STORE_ABSENCES_H_
