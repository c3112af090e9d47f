#ifndef SOURCE_CORE_SHARES_FAIR_QUEUE_SETTINGS_H_
#define SOURCE_CORE_SHARES_FAIR_QUEUE_SETTINGS_H_

#include <chrono>
#include <cstddef>

#include "Core/Common/time.h"

namespace daisyroad {

struct FairQueueSettings {
  std::size_t queue_limit = 10000;  // waiting tasks of the cell
  // Fraction of the cell that is reserved for long tasks while any of them
  // waits.
  double long_minimum = 0.1;
  // Urgent tasks of a team take precedence over long tasks of other teams until
  // the team has exceeded its share by this much of its own entitlement or by
  // the work of this many urgent tasks, whichever is more. With the first limit
  // alone, a team whose share is about one slot could not start two urgent
  // tasks at once.
  Duration urgent_credit = std::chrono::milliseconds(300);
  double urgent_credit_tasks = 2.0;
  // Minimum difference of scores between two teams at which capacity used by
  // long tasks is reclaimed to balance shares. Lower values follow the shares
  // more closely but cause more checkpoints.
  Duration reclaim_score_gap = std::chrono::milliseconds(700);
  // Urgent tasks wait this long for other tasks to end before long tasks are
  // checkpointed for them. Most of them then need no checkpoint.
  Duration urgent_reclaim_delay = std::chrono::milliseconds(700);
  // Fraction of the cell that may be lost to checkpoints that only balance
  // shares; such checkpoints are postponed while the budget is used up.
  // Checkpoints for urgent tasks count against the budget but are never
  // postponed. Without this limit, checkpoints cost 17% of the cell when 68
  // teams had less than one slot each.
  double checkpoint_budget = 0.075;
  // Time for which a slot does no useful work when its task is checkpointed and
  // later resumed.
  Duration checkpoint_cost = std::chrono::milliseconds(500);
  // A long task runs at least this long before it is checkpointed or throttled.
  // A team whose share is one slot exceeds it by 4% over 30 s if it holds a
  // second slot for 1 s.
  Duration minimum_run_time = std::chrono::milliseconds(300);
  // Run times assumed until RuntimeEstimator has enough samples.
  Duration default_urgent_run_time = std::chrono::seconds(1);
  Duration default_long_run_time = std::chrono::seconds(30);
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_SHARES_FAIR_QUEUE_SETTINGS_H_
