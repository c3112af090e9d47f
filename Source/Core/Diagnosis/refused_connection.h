#ifndef SOURCE_CORE_DIAGNOSIS_REFUSED_CONNECTION_H_
#define SOURCE_CORE_DIAGNOSIS_REFUSED_CONNECTION_H_

#include "Core/Common/identifiers.h"

namespace daisyroad {

// The host of the worker was reachable and refused the connection.
struct RefusedConnection {
  EntryName observer;
  WorkerName worker;
  PoolName pool;
  ZoneName to;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_DIAGNOSIS_REFUSED_CONNECTION_H_
