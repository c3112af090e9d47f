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

// What the fleet classes need from the other services of the instance.
struct FleetSources {
  using AnswerCallback = std::function<void(const Result<Json::Value>&)>;

  std::function<MonotonicTime()> now;
  // Wall clock for maintenance windows and intervals, which are declared in
  // UTC.
  std::function<WallTime()> wall_clock;
  // True while the authority of this instance is `confirmed`.
  std::function<bool()> is_authority_confirmed;
  std::function<const Declaration&()> declaration;
  std::function<const std::set<ZoneName>&()> zones_out;
  // Live entry instances, including this one.
  std::function<std::vector<EntryName>()> live_instances;
  // Calls the method `fleet.records` of another instance.
  std::function<void(const EntryName&, const Json::Value&, AnswerCallback)>
      fetch_records;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_ENTRY_FLEET_SOURCES_H_
