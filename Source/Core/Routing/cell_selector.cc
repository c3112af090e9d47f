#include "Core/Routing/cell_selector.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

namespace daisyroad {
namespace {

// Another zone must start the task earlier by this much; a transfer costs two
// network times between zones and waits are reported with a lag.
constexpr Milliseconds kTransferCost{50};
// A returned zone gets its full load after this time. Its estimated wait is
// zero at first, so without a ramp every instance sends everything there.
constexpr std::chrono::seconds kRamp{10};
constexpr double kFirstFraction = 0.05;

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
  std::string others;
  for (const RejectedCell& entry : this->rejected) {
    others += others.empty() ? "" : ",";
    others += entry.zone.str() + ":" + ToText(entry.reason);
  }
  LogDecision line("cell");
  line.Field("task", task.str());
  line.Field("choice", this->zone.has_value() ? this->zone->str() : "none");
  line.Field(
      "wait_ms",
      std::chrono::duration_cast<Milliseconds>(this->estimated_wait).count());
  line.Field("rejected", others);
  return line;
}

CellSelector::CellSelector(ZoneName own_zone) : own(std::move(own_zone)) {}

void CellSelector::Update(const ZoneName& zone,
                          std::size_t workers,
                          Duration wait,
                          MonotonicTime now) {
  const bool known = this->cells.contains(zone);
  Cell& cell = this->cells[zone];
  // Workers that come back after all were gone return like a zone.
  if (known && cell.workers == 0 && workers > 0 && !cell.out) {
    cell.ramping = true;
    cell.returned = now;
  }
  cell.workers = workers;
  cell.wait = wait;
}

void CellSelector::SetOut(const ZoneName& zone, bool out, MonotonicTime now) {
  Cell& cell = this->cells[zone];
  if (cell.out && !out) {
    cell.ramping = true;
    cell.returned = now;
  }
  cell.out = out;
}

double CellSelector::Ramp(const Cell& cell, MonotonicTime now) {
  if (!cell.ramping) {
    return 1.0;
  }
  const double passed =
      std::chrono::duration<double>(now - cell.returned) / kRamp;
  return std::clamp(passed, kFirstFraction, 1.0);
}

double CellSelector::RampFraction(const ZoneName& zone,
                                  MonotonicTime now) const {
  const std::map<ZoneName, Cell>::const_iterator it = this->cells.find(zone);
  return it == this->cells.end() ? 1.0 : Ramp(it->second, now);
}

CellChoice CellSelector::Choose(MonotonicTime now, Random& random) const {
  CellChoice choice;
  std::optional<ZoneName> ramping;  // used if there is no other zone
  Duration best_cost = Duration::max();
  std::vector<ZoneName> usable;
  for (const std::pair<const ZoneName, Cell>& item : this->cells) {
    const Cell& cell = item.second;
    if (cell.out || cell.workers == 0) {
      choice.rejected.push_back({item.first, cell.out
                                                 ? CellRejection::kZoneOut
                                                 : CellRejection::kNoWorkers});
      continue;
    }
    const double fraction = Ramp(cell, now);
    if (fraction < 1.0 && !random.Chance(fraction)) {
      if (!ramping.has_value() || item.first == this->own) {
        ramping = item.first;
      }
      choice.rejected.push_back({item.first, CellRejection::kRamping});
      continue;
    }
    // The random part spreads instances that see the same lagging reports.
    const Duration cost =
        item.first == this->own
            ? cell.wait
            : cell.wait + kTransferCost + random.DurationBelow(kTransferCost);
    usable.push_back(item.first);
    if (cost < best_cost) {
      best_cost = cost;
      choice.zone = item.first;
      choice.estimated_wait = cell.wait;
    }
  }
  for (const ZoneName& zone : usable) {
    if (zone != choice.zone) {
      choice.rejected.push_back({zone, CellRejection::kLongerWait});
    }
  }
  if (!choice.zone.has_value() && ramping.has_value()) {
    choice.zone = ramping;
    choice.estimated_wait = this->cells.at(*ramping).wait;
    std::erase_if(choice.rejected, [&ramping](const RejectedCell& entry) {
      return entry.zone == *ramping;
    });
  }
  return choice;
}

}  // namespace daisyroad
