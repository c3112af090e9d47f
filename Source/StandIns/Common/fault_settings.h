#ifndef SOURCE_STANDINS_COMMON_FAULT_SETTINGS_H_
#define SOURCE_STANDINS_COMMON_FAULT_SETTINGS_H_

#include <json/value.h>

#include <set>
#include <string>

#include "Core/Common/result.h"
#include "Core/Common/time.h"

namespace daisyroad {

struct HttpRequest;

// Faults of a stand-in. POST /standin/faults changes them while it runs.
struct FaultSettings {
  bool down = false;      // accepts requests, never answers, changes nothing
  Milliseconds delay{0};  // delay of each answer
  int lose_answers = 0;   // number of next answers to writes to drop
  bool fail_all = false;  // workers only: every task fails immediately
  std::set<std::string> cut_zones;  // requests with such an X-Zone are ignored

  // Replaces the members that `value` contains. Returns kInvalidArgument and
  // changes nothing if a member is unknown or has the wrong type.
  daisyroad::Status Update(const Json::Value& value);
  // Returns false if the stand-in must ignore the request.
  bool Receives(const HttpRequest& request) const;
  // Decrements `lose_answers` unless it is 0. Returns true if the answer must
  // be dropped.
  bool DropNextAnswer();
};

}  // namespace daisyroad

#endif  // SOURCE_STANDINS_COMMON_FAULT_SETTINGS_H_
