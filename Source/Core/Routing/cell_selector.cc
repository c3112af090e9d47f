#include "Core/Routing/cell_selector.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

namespace daisyroad {
namespace {

// Another zone is selected only if it starts the task earlier by more than
// this: a transfer costs two network latencies between zones, and waits are
// reported with a delay.
constexpr Milliseconds kTransferCost{50};
// Time over which the load of a returned zone increases to its full load. Its
// estimated wait is zero at first, so without a ramp every instance would send
// all tasks there.
constexpr std::chrono::seconds kRampDuration{10};
constexpr double kInitialRampFraction = 0.05;

const char* ToText(CellRejection reason) {
  switch (reason) {
    case CellRejection::kZoneOut:
      return "zone_out";
    case CellRejection::kNoWorkers:
      return "no_workers";
    case CellRejection::kRamping:
      return "ramping";
    case CellRejection::kLongerWait:
      return "longer_wait";
  }
  return "unknown";
}

}  // namespace

LogDecision CellChoice::ToLog(const TaskId& task) const {
  std::string rejected_cells;
  for (const RejectedCell& entry : this->rejected) {
    rejected_cells += rejected_cells.empty() ? "" : ",";
    rejected_cells += entry.zone.str() + ":" + ToText(entry.reason);
  }
  LogDecision line("cell");
  line.Field("task", task.str());
  line.Field("choice", this->zone.has_value() ? this->zone->str() : "none");
  line.Field(
      "wait_ms",
      std::chrono::duration_cast<Milliseconds>(this->estimated_wait).count());
  line.Field("rejected", rejected_cells);
  return line;
}

CellSelector::CellSelector(ZoneName zone) : own_zone(std::move(zone)) {}

void CellSelector::Update(const ZoneName& zone,
                          std::size_t workers,
                          Duration wait,
                          MonotonicTime now) {
  const bool is_known = this->cells.contains(zone);
  Cell& cell = this->cells[zone];
  // A zone whose workers were all gone ramps up like one that returns to
  // service.
  if (is_known && cell.workers == 0 && workers > 0 && !cell.is_out) {
    cell.is_ramping = true;
    cell.returned_at = now;
  }
  cell.workers = workers;
  cell.wait = wait;
}

void CellSelector::SetOut(const ZoneName& zone,
                          bool is_out,
                          MonotonicTime now) {
  Cell& cell = this->cells[zone];
  if (cell.is_out && !is_out) {
    cell.is_ramping = true;
    cell.returned_at = now;
  }
  cell.is_out = is_out;
}

double CellSelector::ComputeRampFraction(const Cell& cell, MonotonicTime now) {
  if (!cell.is_ramping) {
    return 1.0;
  }
  const double fraction =
      std::chrono::duration<double>(now - cell.returned_at) / kRampDuration;
  return std::clamp(fraction, kInitialRampFraction, 1.0);
}

double CellSelector::RampFraction(const ZoneName& zone,
                                  MonotonicTime now) const {
  const std::map<ZoneName, Cell>::const_iterator it = this->cells.find(zone);
  return it == this->cells.end() ? 1.0 : ComputeRampFraction(it->second, now);
}

CellChoice CellSelector::Choose(MonotonicTime now, Random& random) const {
  CellChoice choice;
  std::optional<ZoneName> ramping_zone;  // used if no other zone is eligible
  Duration best_cost = Duration::max();
  std::vector<ZoneName> eligible;
  for (const std::pair<const ZoneName, Cell>& item : this->cells) {
    const Cell& cell = item.second;
    if (cell.is_out || cell.workers == 0) {
      choice.rejected.push_back({item.first, cell.is_out
                                                 ? CellRejection::kZoneOut
                                                 : CellRejection::kNoWorkers});
      continue;
    }
    const double fraction = ComputeRampFraction(cell, now);
    if (fraction < 1.0 && !random.Chance(fraction)) {
      if (!ramping_zone.has_value() || item.first == this->own_zone) {
        ramping_zone = item.first;
      }
      choice.rejected.push_back({item.first, CellRejection::kRamping});
      continue;
    }
    // The random part spreads the choices of instances that use the same
    // outdated reports.
    const Duration cost =
        item.first == this->own_zone
            ? cell.wait
            : cell.wait + kTransferCost + random.DurationBelow(kTransferCost);
    eligible.push_back(item.first);
    if (cost < best_cost) {
      best_cost = cost;
      choice.zone = item.first;
      choice.estimated_wait = cell.wait;
    }
  }
  for (const ZoneName& zone : eligible) {
    if (zone != choice.zone) {
      choice.rejected.push_back({zone, CellRejection::kLongerWait});
    }
  }
  if (!choice.zone.has_value() && ramping_zone.has_value()) {
    choice.zone = ramping_zone;
    choice.estimated_wait = this->cells.at(*ramping_zone).wait;
    std::erase_if(choice.rejected, [&ramping_zone](const RejectedCell& entry) {
      return entry.zone == *ramping_zone;
    });
  }
  return choice;
}

}  // namespace daisyroad
