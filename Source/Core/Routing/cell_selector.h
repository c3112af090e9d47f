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
  std::optional<ZoneName> zone;  // empty if no zone may take the task
  Duration estimated_wait = Duration::zero();
  std::vector<RejectedCell> rejected;

  LogDecision ToLog(const TaskId& task) const;
};

// Chooses the zone whose cell of a pool gets a task. The own zone is preferred
// unless another one starts the task noticeably earlier.
class CellSelector {
 public:
  explicit CellSelector(ZoneName own_zone);

  // `wait` is what the cell's dispatcher last reported.
  void Update(const ZoneName& zone,
              std::size_t workers,
              Duration wait,
              MonotonicTime now);
  // Operators have taken the zone out or put it back.
  void SetOut(const ZoneName& zone, bool out, MonotonicTime now);

  CellChoice Choose(MonotonicTime now, Random& random) const;
  // Part of its load that a zone may get, from 0.05 to 1.
  double RampFraction(const ZoneName& zone, MonotonicTime now) const;

 private:
  struct Cell {
    std::size_t workers = 0;
    Duration wait = Duration::zero();
    bool out = false;
    bool ramping = false;
    MonotonicTime returned;
  };

  static double Ramp(const Cell& cell, MonotonicTime now);

  ZoneName own;
  std::map<ZoneName, Cell> cells;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_ROUTING_CELL_SELECTOR_H_
