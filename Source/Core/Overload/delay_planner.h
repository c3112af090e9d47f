#ifndef SOURCE_CORE_OVERLOAD_DELAY_PLANNER_H_
#define SOURCE_CORE_OVERLOAD_DELAY_PLANNER_H_

#include <map>
#include <vector>

#include "Core/Overload/delay_plan.h"
#include "Core/Overload/overload_settings.h"
#include "Core/Overload/size_counts.h"
#include "Core/Overload/standing.h"
#include "Core/Overload/waiting_job.h"

namespace daisyroad {

// Load: for some seconds, a pool gets several times the work that it has room
// for. Chooses the jobs that are delayed so that the others are in time.
class DelayPlanner {
 public:
  explicit DelayPlanner(const OverloadSettings& settings)
      : settings(settings) {}

  // Adds the jobs in the order of their objectives. Whenever the work due by
  // then exceeds the capacity until then, the job that costs callers least
  // gives way: of the lowest priority, with the least value for the work that
  // it still needs.
  DelayPlan Plan(const std::vector<WaitingJob>& jobs) const;

  // Counts the end of a job for the shares of its class of sizes.
  void RecordEnd(int priority, double relative_size, bool is_of_use);
  // Called when there is room again: what ended before no longer counts.
  void ForgetEnds() { this->ended.clear(); }

  // The flags are those of the last plan.
  Standing StandingOf(const WaitingJob& job,
                      bool is_short,
                      bool gives_way,
                      bool is_owed) const;

 private:
  SizeClassCounts EndedOf(int priority) const;

  OverloadSettings settings;
  std::map<int, SizeClassCounts> ended;  // by priority, while room is short
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_OVERLOAD_DELAY_PLANNER_H_
