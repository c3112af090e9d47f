#ifndef SOURCE_CORE_SHARES_FAIR_QUEUE_SETTINGS_H_
#define SOURCE_CORE_SHARES_FAIR_QUEUE_SETTINGS_H_

#include <chrono>
#include <cstddef>

#include "Core/Common/time.h"

namespace daisyroad {

struct FairQueueSettings {
  std::size_t queue_limit = 10000;  // waiting tasks of the cell
  // Part of the cell kept for long work while any waits.
  double long_minimum = 0.1;
  // Urgent work of a team passes other teams' long work until the team has
  // received this much of its own share too much.
  Duration urgent_credit = std::chrono::seconds(2);
  // Difference of scores from which long work is moved between teams. Lower
  // values follow the shares more closely at the cost of more checkpoints.
  Duration reclaim_gap = std::chrono::milliseconds(600);
  // A long task runs at least this long before it is checkpointed.
  Duration minimum_run = std::chrono::milliseconds(1000);
  // Run times assumed before any were observed.
  Duration default_urgent_run = std::chrono::seconds(1);
  Duration default_long_run = std::chrono::seconds(30);
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_SHARES_FAIR_QUEUE_SETTINGS_H_
