#ifndef SOURCE_CORE_CONFIG_SETTINGS_H_
#define SOURCE_CORE_CONFIG_SETTINGS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "Core/Common/time.h"
#include "Core/Config/seed.h"

namespace daisyroad {

// Forward-declared because logging.h includes the logging library, whose macros
// (CHECK, INFO) clash with those of Catch2 and which every program that reads
// settings would then have to link.
enum class LogLevel;

// Settings of the daemon with their defaults. AllSettings defines their names
// and ranges and whether a reload applies them. Addresses have the form
// "IP:PORT", with an IPv6 address in brackets.
struct Settings {
  std::string instance_name;
  std::string zone;
  std::string region;

  std::string callers_address;
  std::string peers_address;
  std::vector<Seed> seeds;

  std::vector<std::string> store_addresses;
  Milliseconds store_connect_timeout{300};
  Milliseconds store_request_timeout{1'000};
  Milliseconds store_watch_wait{30'000};

  std::string instance_list_address;
  Milliseconds instance_list_interval{1'000};

  LogLevel log_level{1};  // LogLevel::kInfo

  Milliseconds worker_connect_timeout{300};
  // After this long without a response, a probe is sent on a new connection.
  Milliseconds worker_request_timeout{1'000};
  Milliseconds worker_probe_timeout{500};
  Milliseconds worker_poll_wait{10'000};

  // Twice the maximum payload of a queue, since JSON escapes lengthen it.
  std::int64_t max_request_bytes = 2'000'000;
  Milliseconds header_timeout{5'000};
  std::int64_t max_connections = 1'000;
  // Requests from their first byte until they are answered, and responses that
  // are not sent yet.
  std::int64_t max_held_bytes = 48'000'000;

  // Longer than the 5 s within which running tasks are adopted (design 5).
  Milliseconds task_lease{10'000};
  Milliseconds lease_renewal{2'000};
  // Added to the time after which a failed holder's allotment is reclaimed.
  Milliseconds allotment_margin{1'000};

  Milliseconds answer_retention{600'000};
  Milliseconds claim_retention{600'000};

  bool operator==(const Settings&) const = default;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_CONFIG_SETTINGS_H_
