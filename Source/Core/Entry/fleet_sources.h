#ifndef SOURCE_CORE_ENTRY_FLEET_SOURCES_H_
#define SOURCE_CORE_ENTRY_FLEET_SOURCES_H_

#include <json/value.h>

#include <functional>
#include <set>
#include <vector>

#include "Core/Common/identifiers.h"
#include "Core/Common/result.h"
#include "Core/Common/time.h"
#include "Core/Declaration/declaration.h"

namespace daisyroad {

// What the fleet half needs from the other services of the instance.
struct FleetSources {
  using AnswerCallback = std::function<void(const Result<Json::Value>&)>;

  std::function<MonotonicTime()> now;
  // For maintenance windows and intervals, which are declared in UTC.
  std::function<WallTime()> wall_clock;
  // True while the authority of this instance is `confirmed`.
  std::function<bool()> confirmed;
  std::function<const Declaration&()> declaration;
  std::function<const std::set<ZoneName>&()> zones_out;
  // Live entry instances, this one included.
  std::function<std::vector<EntryName>()> live;
  // Calls the method `fleet.records` of another instance.
  std::function<void(const EntryName&, const Json::Value&, AnswerCallback)> ask;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_ENTRY_FLEET_SOURCES_H_
