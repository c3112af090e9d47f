#include "Core/Overload/delay_planner.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <map>
#include <numeric>
#include <optional>
#include <queue>
#include <tuple>
#include <utility>

namespace daisyroad {
namespace {

// Part of the capacity that tasks fill: they leave gaps on their workers and
// while a start is on its way.
constexpr double kUsableShare = 0.9;
// A job is pressing when its spare time is less than this multiple of its
// critical path.
constexpr double kPressingSpare = 1.5;
// Lower limits of the relative sizes of the classes.
constexpr std::array<double, kSizeClassCount> kSizeClasses{0.0, 1.0, 2.0};
// In each class of sizes, the share of jobs of use is at least this part of
// that of all jobs of the priority.
constexpr double kMinShare = 0.6;
// A job is past its use only if it also would be with durations that are longer
// than declared by this factor.
constexpr double kDeclaredError = 1.5;
constexpr double kMinWork = 1e-6;

std::size_t ClassOf(double relative_size) {
  std::size_t size = 0;
  while (size + 1 < kSizeClasses.size() &&
         relative_size >= kSizeClasses[size + 1]) {
    ++size;
  }
  return size;
}

// Jobs of one class of sizes, those that cost least to delay first.
struct SizeClass {
  // Value for its work, time left (negative, ms) and job. Of equal values, the
  // latest objective gives way first: callers choose the order of the jobs.
  using Entry = std::tuple<double, std::int64_t, std::size_t>;

  std::priority_queue<Entry, std::vector<Entry>, std::greater<Entry>> kept;
  // Of the jobs that have ended or can't be in time any more, and with the
  // other open jobs, of which those that are kept count as of use.
  SizeCounts settled;
  SizeCounts counts;
};

// Jobs of one priority.
class PriorityLevel {
 public:
  explicit PriorityLevel(const SizeClassCounts& ended) {
    for (std::size_t i = 0; i < ended.size(); ++i) {
      this->classes[i].counts = ended[i];
      this->classes[i].settled = ended[i];
    }
  }

  void AddMissed(const WaitingJob& job) {
    ++this->classes[ClassOf(job.relative_size)].counts.all;
    ++this->classes[ClassOf(job.relative_size)].settled.all;
  }
  void AddRunning(const WaitingJob& job) {
    SizeClass& sizes = this->classes[ClassOf(job.relative_size)];
    for (SizeCounts* const counts : {&sizes.settled, &sizes.counts}) {
      ++counts->all;
      ++counts->of_use;
    }
  }
  void Add(const WaitingJob& job, std::size_t index) {
    SizeClass& sizes = this->classes[ClassOf(job.relative_size)];
    // A large job is worth more than a small one, but not in proportion.
    const double value = std::sqrt(job.whole_work);
    sizes.kept.emplace(value / std::max(kMinWork, job.waiting_work),
                       -job.time_left.count(), index);
    ++sizes.counts.all;
    ++sizes.counts.of_use;
  }

  // Removes the job that costs least to delay.
  std::optional<std::size_t> TakeCheapest() {
    SizeCounts sum;
    for (const SizeClass& sizes : this->classes) {
      sum.all += sizes.counts.all;
      sum.of_use += sizes.counts.of_use;
    }
    SizeClass* cheapest = nullptr;
    bool is_cheapest_spared = false;
    for (SizeClass& sizes : this->classes) {
      if (sizes.kept.empty()) {
        continue;
      }
      const bool is_spared = (sizes.counts.of_use - 1.0) * sum.all <
                             kMinShare * sum.of_use * sizes.counts.all;
      if (cheapest == nullptr ||
          std::pair(is_spared, std::get<0>(sizes.kept.top())) <
              std::pair(is_cheapest_spared,
                        std::get<0>(cheapest->kept.top()))) {
        cheapest = &sizes;
        is_cheapest_spared = is_spared;
      }
    }
    if (cheapest == nullptr) {
      return std::nullopt;
    }
    const std::size_t index = std::get<2>(cheapest->kept.top());
    cheapest->kept.pop();
    --cheapest->counts.of_use;
    return index;
  }

  // Whether the class of the job lacks a part of its share, of which this job
  // then makes up one.
  bool TakeOwed(const WaitingJob& job) {
    SizeCounts sum;
    for (const SizeClass& sizes : this->classes) {
      sum.all += sizes.settled.all;
      sum.of_use += sizes.settled.of_use;
    }
    SizeCounts& settled = this->classes[ClassOf(job.relative_size)].settled;
    if (settled.of_use * sum.all >= kMinShare * sum.of_use * settled.all) {
      return false;
    }
    ++settled.of_use;
    return true;
  }

 private:
  std::array<SizeClass, kSizeClassCount> classes;
};

std::optional<std::size_t> TakeCheapest(std::map<int, PriorityLevel>* levels) {
  for (std::map<int, PriorityLevel>::reverse_iterator level = levels->rbegin();
       level != levels->rend(); ++level) {
    const std::optional<std::size_t> index = level->second.TakeCheapest();
    if (index) {
      return index;
    }
  }
  return std::nullopt;
}

}  // namespace

Standing DelayPlanner::StandingOf(const WaitingJob& job,
                                  bool is_short,
                                  bool gives_way,
                                  bool is_owed) const {
  const Milliseconds spare = job.time_left - job.critical_path;
  if (spare.count() < 0) {
    const double useful = static_cast<double>(job.objective_length.count()) *
                          (kDeclaredError * this->settings.useful_for - 1.0);
    return static_cast<double>(spare.count()) + useful < 0.0
               ? Standing::kPastUse
               : Standing::kDelayed;
  }
  if (gives_way) {
    return Standing::kDelayed;
  }
  if (is_owed) {
    return Standing::kOwed;
  }
  const double path = static_cast<double>(job.critical_path.count());
  return is_short && static_cast<double>(spare.count()) <= kPressingSpare * path
             ? Standing::kPressing
             : Standing::kInTime;
}

void DelayPlanner::RecordEnd(int priority,
                             double relative_size,
                             bool is_of_use) {
  SizeCounts& counts = this->ended[priority][ClassOf(relative_size)];
  ++counts.all;
  counts.of_use += is_of_use;
}

SizeClassCounts DelayPlanner::EndedOf(int priority) const {
  const std::map<int, SizeClassCounts>::const_iterator found =
      this->ended.find(priority);
  return found == this->ended.end() ? SizeClassCounts() : found->second;
}

DelayPlan DelayPlanner::Plan(const std::vector<WaitingJob>& jobs) const {
  DelayPlan plan;
  plan.gives_way.resize(jobs.size());
  plan.is_owed.resize(jobs.size());
  std::vector<std::size_t> order(jobs.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::sort(order.begin(), order.end(),
            [&jobs](std::size_t left, std::size_t right) {
              return std::pair(jobs[left].time_left, left) <
                     std::pair(jobs[right].time_left, right);
            });
  std::map<int, PriorityLevel> levels;
  double due = 0.0;
  for (const std::size_t index : order) {
    const WaitingJob& job = jobs[index];
    due += job.running_work;
    const Standing standing = this->StandingOf(job, false, false, false);
    PriorityLevel& level =
        levels.try_emplace(job.priority, this->EndedOf(job.priority))
            .first->second;
    if (job.waiting_work <= 0.0) {
      level.AddRunning(job);
      continue;
    }
    if (standing != Standing::kInTime) {
      ++(standing == Standing::kPastUse ? plan.past_use : plan.delayed);
      level.AddMissed(job);
      continue;
    }
    due += job.waiting_work;
    level.Add(job, index);
    const double capacity =
        kUsableShare * static_cast<double>(job.time_left.count());
    while (due > capacity) {
      const std::optional<std::size_t> delayed = TakeCheapest(&levels);
      if (!delayed) {
        break;
      }
      due -= jobs[*delayed].waiting_work;
      plan.gives_way[*delayed] = true;
      plan.is_short = true;
      ++plan.delayed;
    }
  }
  for (const std::size_t index : order) {
    const WaitingJob& job = jobs[index];
    plan.is_owed[index] =
        plan.is_short && !plan.gives_way[index] && job.waiting_work > 0.0 &&
        this->StandingOf(job, false, false, false) == Standing::kInTime &&
        levels.at(job.priority).TakeOwed(job);
  }
  return plan;
}

}  // namespace daisyroad
