#ifndef SOURCE_CORE_JOBS_OPEN_START_H_
#define SOURCE_CORE_JOBS_OPEN_START_H_

#include <cstdint>

#include "Core/Common/identifiers.h"

namespace daisyroad {

// Where a run whose end is not known was, or was to be, started. While that
// process of the worker goes on, the worker reports the run if it began.
struct OpenStart {
  // Empty if no worker was chosen yet.
  WorkerName worker;
  // Start time of the worker's process, zero if it is not known.
  std::int64_t incarnation = 0;

  friend bool operator==(const OpenStart&, const OpenStart&) = default;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_JOBS_OPEN_START_H_
