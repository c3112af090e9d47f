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
  // received this much of its own share too much, or the work of this many
  // urgent tasks, whichever is more. A team whose share is about one slot could
  // not start two urgent tasks at once by the first bound alone.
  Duration urgent_credit = std::chrono::milliseconds(300);
  double urgent_credit_tasks = 2.0;
  // Difference of scores from which long work is moved between teams. Lower
  // values follow the shares more closely at the cost of more checkpoints.
  Duration reclaim_gap = std::chrono::milliseconds(700);
  // Urgent work waits this long for room to fall free by itself before long
  // work is checkpointed for it. Most of it needs no checkpoint that way.
  Duration urgent_patience = std::chrono::milliseconds(700);
  // Part of the cell that may be lost to checkpoints which only balance shares;
  // they are put off while it is used up. Checkpoints for urgent work count but
  // are never put off. 68 teams with less than one slot each cost 17% of the
  // cell without this bound.
  double checkpoint_budget = 0.075;
  // Time for which a slot does no work when its task is checkpointed and later
  // resumed.
  Duration checkpoint_cost = std::chrono::milliseconds(500);
  // A long task runs at least this long before it is checkpointed. A team whose
  // share is one slot gets 4% too much in 30 s from a second slot held for 1 s.
  Duration minimum_run = std::chrono::milliseconds(300);
  // Run times assumed before any were observed.
  Duration default_urgent_run = std::chrono::seconds(1);
  Duration default_long_run = std::chrono::seconds(30);
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_SHARES_FAIR_QUEUE_SETTINGS_H_
