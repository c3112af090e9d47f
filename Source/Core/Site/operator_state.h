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

// Everything that operators have configured, as of one read of the store.
struct OperatorState {
  std::shared_ptr<const SiteConfig>
      config;  // null until the first version is read
  std::set<ZoneName> zones_out;
  std::map<std::int64_t, MaintenanceWave> waves;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_SITE_OPERATOR_STATE_H_
