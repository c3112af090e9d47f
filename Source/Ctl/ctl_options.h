#ifndef SOURCE_CTL_CTL_OPTIONS_H_
#define SOURCE_CTL_CTL_OPTIONS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "Core/Common/time.h"

namespace daisyroad {

// Values of the command-line options. An empty string or a negative number
// means that the option was not given.
struct CtlOptions {
  std::vector<std::string> servers;  // IP:PORT, tried in this order
  std::string key;
  bool json = false;
  Milliseconds timeout{5000};  // of each request
  std::int64_t base_version = -1;
  std::string team;
  std::string operator_name;
  std::vector<std::string> what_if;
  std::int64_t wait_seconds = 0;
  std::string idempotency_key;
  std::string task;
  std::string service;
  std::int64_t since_seconds = -1;
  std::int64_t limit = 20;
  std::int64_t max_lines = 0;  // 0: no limit
};

}  // namespace daisyroad

#endif  // SOURCE_CTL_CTL_OPTIONS_H_
