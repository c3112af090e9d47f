#ifndef SOURCE_CORE_SITE_OPERATOR_STATE_H_
#define SOURCE_CORE_SITE_OPERATOR_STATE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <set>

#include "Core/Common/identifiers.h"
#include "Core/Machines/maintenance_wave.h"
#include "Core/Site/site_config.h"

namespace daisyroad {

// All that operators ask for, as of one reading of the store.
struct OperatorState {
  std::shared_ptr<const SiteConfig> config;  // null before the first version
  std::set<ZoneName> zones_out;
  std::map<std::int64_t, MaintenanceWave> waves;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_SITE_OPERATOR_STATE_H_
