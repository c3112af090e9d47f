#ifndef SOURCE_STANDINS_COMMON_FAULT_SETTINGS_H_
#define SOURCE_STANDINS_COMMON_FAULT_SETTINGS_H_

#include <json/value.h>

#include <set>
#include <string>

#include "Core/Common/result.h"
#include "Core/Common/time.h"

namespace daisyroad {

struct HttpRequest;

// Faults of a stand-in, set while it runs by POST /standin/faults.
struct FaultSettings {
  bool down = false;      // accepts requests, never answers, changes nothing
  Milliseconds delay{0};  // before each answer
  int lose_answers = 0;   // next answers of writes that are not sent
  bool fail_all = false;  // worker: every task fails at once
  std::set<std::string> cut_zones;  // requests with this X-Zone are not heard

  // Replaces the members that `value` names; an unknown or mistyped member is
  // kInvalidArgument and changes nothing.
  daisyroad::Status Update(const Json::Value& value);
  bool Hears(const HttpRequest& request) const;
  // Counts down `lose_answers`.
  bool LosesAnswer();
};

}  // namespace daisyroad

#endif  // SOURCE_STANDINS_COMMON_FAULT_SETTINGS_H_
