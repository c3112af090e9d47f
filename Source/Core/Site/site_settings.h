#ifndef SOURCE_CORE_SITE_SITE_SETTINGS_H_
#define SOURCE_CORE_SITE_SITE_SETTINGS_H_

#include <string>
#include <string_view>

#include "Core/Common/result.h"
#include "Core/Jobs/scheduler_settings.h"

namespace daisyroad {

// Settings of an entry instance that is given its store, workers and machines
// by a platform. Addresses are IP:PORT.
struct SiteSettings {
  std::string node;
  std::string zone;
  std::string callers_address;
  std::string readiness_address;
  std::string peers_address;  // also serves the metrics
  std::string store_address;
  std::string machines_address;
  std::string advice_address;  // empty: there is no placement advisor
  // What this instance may use of its processor: a part of the time of so many
  // cores. Duties go to instances with more.
  double processor_share = 1.0;
  double processor_cores = 1.0;
  SchedulerSettings scheduler;
  // A withdrawn key is refused after this time, also by an instance that has
  // lost the store.
  Milliseconds key_withdrawal{5000};
  // Time from the request to stop until the process is killed.
  Milliseconds stop_grace{6000};
  std::chrono::seconds job_retention{120};
};

// On failure the detail of the error has one line for each fault:
// "FILE:LINE: FIELD: PROBLEM".
Result<SiteSettings> ParseSiteSettings(std::string_view text,
                                       const std::string& file_name);
// kNotFound if the file cannot be read.
Result<SiteSettings> LoadSiteSettings(const std::string& path);

}  // namespace daisyroad

#endif  // SOURCE_CORE_SITE_SITE_SETTINGS_H_
