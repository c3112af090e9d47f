#ifndef SOURCE_CORE_DIAGNOSIS_SILENT_CONNECTION_H_
#define SOURCE_CORE_DIAGNOSIS_SILENT_CONNECTION_H_

#include "Core/Common/identifiers.h"

namespace daisyroad {

// An open connection carried nothing while a new one to the same worker
// answered.
struct SilentConnection {
  EntryName observer;
  WorkerName worker;
  PoolName pool;
  ZoneName from;
  ZoneName to;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_DIAGNOSIS_SILENT_CONNECTION_H_
