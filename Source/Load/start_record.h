#ifndef SOURCE_LOAD_START_RECORD_H_
#define SOURCE_LOAD_START_RECORD_H_

#include <string>

#include "Core/Common/identifiers.h"
#include "Core/Common/time.h"

namespace daisyroad {

// One start of a task, as recorded by a stand-in worker.
struct StartRecord {
  std::string task;
  TeamName team;
  std::string echo;
  WorkerName worker;
  ZoneName zone;
  PoolName pool;
  WallTime started;
  WallTime ended;        // time of the query if the task still runs
  bool resumed = false;  // continues from a checkpoint
};

}  // namespace daisyroad

#endif  // SOURCE_LOAD_START_RECORD_H_
