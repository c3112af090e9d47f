#ifndef SOURCE_CORE_DIAGNOSIS_SILENT_CONNECTION_H_
#define SOURCE_CORE_DIAGNOSIS_SILENT_CONNECTION_H_

#include "Core/Common/identifiers.h"

namespace daisyroad {

// An established connection delivered no data while a new connection to the
// same worker was answered.
struct SilentConnection {
  EntryName observer;
  WorkerName worker;
  PoolName pool;
  ZoneName from;
  ZoneName to;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_DIAGNOSIS_SILENT_CONNECTION_H_
