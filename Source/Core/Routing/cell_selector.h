#ifndef SOURCE_CORE_ROUTING_CELL_SELECTOR_H_
#define SOURCE_CORE_ROUTING_CELL_SELECTOR_H_

#include <map>
#include <optional>
#include <vector>

#include "Core/Common/identifiers.h"
#include "Core/Common/log_decision.h"
#include "Core/Common/random.h"
#include "Core/Common/time.h"

namespace daisyroad {

enum class CellRejection { kZoneOut, kNoWorkers, kRamping, kLongerWait };

struct RejectedCell {
  ZoneName zone;
  CellRejection reason = CellRejection::kLongerWait;
};

struct CellChoice {
  std::optional<ZoneName> zone;  // empty if no zone can take the task
  Duration estimated_wait = Duration::zero();
  std::vector<RejectedCell> rejected;

  LogDecision ToLog(const TaskId& task) const;
};

// Selects the zone whose cell of a pool gets a task. The zone of this instance
// is preferred unless another zone is expected to start the task noticeably
// earlier.
class CellSelector {
 public:
  explicit CellSelector(ZoneName zone);

  // `wait` is the estimated wait last reported by the dispatcher of the cell.
  void Update(const ZoneName& zone,
              std::size_t workers,
              Duration wait,
              MonotonicTime now);
  // An operator took the zone out of service or returned it to service.
  void SetOut(const ZoneName& zone, bool is_out, MonotonicTime now);

  CellChoice Choose(MonotonicTime now, Random& random) const;
  // Fraction of its normal load that the zone may get, from 0.05 to 1.
  double RampFraction(const ZoneName& zone, MonotonicTime now) const;

 private:
  struct Cell {
    std::size_t workers = 0;
    Duration wait = Duration::zero();
    bool is_out = false;
    bool is_ramping = false;
    MonotonicTime returned_at;
  };

  static double ComputeRampFraction(const Cell& cell, MonotonicTime now);

  ZoneName own_zone;
  std::map<ZoneName, Cell> cells;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_ROUTING_CELL_SELECTOR_H_
