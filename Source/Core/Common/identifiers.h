#ifndef SOURCE_CORE_COMMON_IDENTIFIERS_H_
#define SOURCE_CORE_COMMON_IDENTIFIERS_H_

#include "Core/Common/strong_string.h"

namespace daisyroad {

using TaskId = StrongString<struct TaskIdTag>;
using TeamName = StrongString<struct TeamNameTag>;
using QueueName = StrongString<struct QueueNameTag>;
using ServiceName = StrongString<struct ServiceNameTag>;
using PoolName = StrongString<struct PoolNameTag>;
using ZoneName = StrongString<struct ZoneNameTag>;
using RackName = StrongString<struct RackNameTag>;
// A backend server instance (worker).
using WorkerName = StrongString<struct WorkerNameTag>;
// One run of an entry instance; a restart gets a new incarnation.
using EntryName = StrongString<struct EntryNameTag>;

}  // namespace daisyroad

#endif  // SOURCE_CORE_COMMON_IDENTIFIERS_H_
