#ifndef SOURCE_CORE_DIAGNOSIS_WORKER_CONTACT_H_
#define SOURCE_CORE_DIAGNOSIS_WORKER_CONTACT_H_

#include "Core/Common/identifiers.h"

namespace daisyroad {

// Whether an entry instance received any reply from a worker. Comparing the
// contacts of several instances distinguishes a dead worker from a cut path.
struct WorkerContact {
  EntryName observer;
  WorkerName worker;
  PoolName pool;
  ZoneName from;
  ZoneName to;
  bool reached = false;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_DIAGNOSIS_WORKER_CONTACT_H_
