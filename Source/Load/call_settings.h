#ifndef SOURCE_LOAD_CALL_SETTINGS_H_
#define SOURCE_LOAD_CALL_SETTINGS_H_

#include <map>
#include <string>
#include <vector>

#include "Core/Common/identifiers.h"
#include "Core/Common/time.h"

namespace daisyroad {

// Addresses, keys and retry policy of the simulated callers.
struct CallSettings {
  std::vector<std::string> entries;  // host:port of the caller addresses
  std::map<TeamName, std::string> secrets;
  std::chrono::seconds wait{2};  // sent as Prefer: wait
  // Added to `wait` to give the HTTP timeout of a request.
  Milliseconds response_margin{1500};
  Milliseconds initial_backoff{50};  // doubled on each retry, with full jitter
  Milliseconds max_backoff{1000};
  // Added to the deadline and run time of a call to give the time after its
  // first attempt at which retrying stops.
  Milliseconds give_up_after{10000};
  std::uint64_t seed = 1;
};

}  // namespace daisyroad

#endif  // SOURCE_LOAD_CALL_SETTINGS_H_
