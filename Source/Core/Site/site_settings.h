#ifndef SOURCE_CORE_SITE_SITE_SETTINGS_H_
#define SOURCE_CORE_SITE_SITE_SETTINGS_H_

#include <string>
#include <string_view>

#include "Core/Common/result.h"
#include "Core/Jobs/scheduler_settings.h"
#include "Core/Machines/machine_planner_settings.h"
#include "Core/Platform/store_call_settings.h"
#include "Core/Transport/caller_limits.h"

namespace daisyroad {

// Settings of an entry instance whose store, workers and machines are provided
// by a platform. Addresses are IP:PORT.
struct SiteSettings {
  std::string node;
  std::string zone;
  std::string callers_address;
  std::string readiness_address;
  std::string peers_address;  // also serves the metrics
  std::string store_address;
  std::string machines_address;
  std::string advice_address;  // empty if there is no placement advisor
  // CPU time available to this instance: this share of the time of this number
  // of cores. Instances with more are preferred for duties.
  double processor_share = 1.0;
  double processor_cores = 1.0;
  CallerLimits callers;
  SchedulerSettings scheduler;
  StoreCallSettings store_calls;
  std::size_t store_value_bytes = 1 << 20;  // the largest value it takes
  MachinePlannerSettings planner;
  // Maximum time until a withdrawn key is refused, even by an instance that
  // cannot reach the store.
  Milliseconds key_withdrawal{5000};
  // Time from the stop signal until the platform kills the process.
  Milliseconds stop_grace{6000};
  std::chrono::seconds job_retention{120};
};

// On failure, the detail of the error has one line per fault:
// "FILE:LINE: FIELD: PROBLEM".
Result<SiteSettings> ParseSiteSettings(std::string_view text,
                                       const std::string& file_name);
// Returns kNotFound if the file cannot be read.
Result<SiteSettings> LoadSiteSettings(const std::string& path);

}  // namespace daisyroad

#endif  // SOURCE_CORE_SITE_SITE_SETTINGS_H_
