#ifndef SOURCE_LOAD_CALL_SETTINGS_H_
#define SOURCE_LOAD_CALL_SETTINGS_H_

#include <map>
#include <string>
#include <vector>

#include "Core/Common/identifiers.h"
#include "Core/Common/time.h"

namespace daisyroad {

// How callers reach daisyroad.
struct CallSettings {
  std::vector<std::string> entries;  // host:port of the caller addresses
  std::map<TeamName, std::string> secrets;
  std::chrono::seconds wait{2};  // of one exchange, as Prefer: wait
  // Added to `wait`; an exchange without an answer by then is abandoned.
  Milliseconds slack{1500};
  Milliseconds first_pause{50};  // doubled with each retry, with full jitter
  Milliseconds longest_pause{1000};
  // After its first attempt a call is given up after its deadline plus this.
  Milliseconds patience{10000};
  std::uint64_t seed = 1;
};

}  // namespace daisyroad

#endif  // SOURCE_LOAD_CALL_SETTINGS_H_
