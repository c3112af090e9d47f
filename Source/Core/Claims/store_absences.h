#ifndef SOURCE_CORE_CLAIMS_STORE_ABSENCES_H_
#define SOURCE_CORE_CLAIMS_STORE_ABSENCES_H_

#include <vector>

#include "Core/Common/time.h"

namespace daisyroad {

// A time interval in which an instance did not reach the store.
struct StoreAbsence {
  MonotonicTime from;
  MonotonicTime to;
};

// The intervals in which this instance did not reach the store. Their number is
// bounded: the oldest ones are merged, which can only extend the time covered.
class StoreAbsences {
 public:
  // Must be called after every check whether the store can be reached.
  void RecordReachability(bool reaches_store, MonotonicTime now);
  void ForgetBefore(MonotonicTime time);
  const std::vector<StoreAbsence>& intervals() const { return this->absences; }

 private:
  std::vector<StoreAbsence> absences;  // sorted by time
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_CLAIMS_STORE_ABSENCES_H_
