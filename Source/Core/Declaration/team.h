#ifndef SOURCE_CORE_DECLARATION_TEAM_H_
#define SOURCE_CORE_DECLARATION_TEAM_H_

#include <cstdint>
#include <vector>

#include "Core/Common/identifiers.h"

namespace daisyroad {

// A workspace whose members share quota and keys.
struct Team {
  TeamName name;
  std::int64_t share = 1;         // weight relative to the other teams
  std::int64_t upper_limit = 0;   // running tasks across the fleet
  std::vector<QueueName> queues;  // queues that the team may use

  bool operator==(const Team&) const = default;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_DECLARATION_TEAM_H_
