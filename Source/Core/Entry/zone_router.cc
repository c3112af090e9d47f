#include "Core/Entry/zone_router.h"

#include <algorithm>

#include "Core/Entry/entry_context.h"
#include "Core/Entry/worker_directory.h"

namespace daisyroad {
namespace {

// Six missed exchanges. A cell without a report is assumed to be idle, like one
// that has not received a task yet.
constexpr std::chrono::seconds kReportLifetime{3};
// Assumed wait of a cell that refused the task. Longer than any wait at which a
// cell accepts urgent tasks.
constexpr std::chrono::seconds kRefusedWait{60};

Json::Int64 ToMilliseconds(Duration duration) {
  return Json::Int64(
      std::chrono::duration_cast<Milliseconds>(duration).count());
}

}  // namespace

ZoneRouter::ZoneRouter(EntryContext* context, WorkerDirectory* directory)
    : context(context), directory(directory) {}

void ZoneRouter::Start() {
  this->directory->AddListener(
      [this](const WorkerName&) { this->has_worker_counts = false; });
}

Json::Value ZoneRouter::ToJson(const std::vector<CellLoad>& loads) {
  Json::Value section(Json::arrayValue);
  for (const CellLoad& load : loads) {
    Json::Value item;
    item["pool"] = load.pool.str();
    item["zone"] = load.zone.str();
    item["urgent_ms"] = ToMilliseconds(load.urgent_wait);
    item["long_ms"] = ToMilliseconds(load.long_wait);
    item["free"] = load.free_slots;
    section.append(item);
  }
  return section;
}

void ZoneRouter::OnSection(const Json::Value& section) {
  if (!section.isArray()) {
    return;
  }
  for (const Json::Value& item : section) {
    if (!item.isObject() || !item["pool"].isString() ||
        !item["zone"].isString() || !item["urgent_ms"].isInt64() ||
        !item["long_ms"].isInt64() || !item["free"].isInt()) {
      continue;
    }
    CellLoad load;
    load.pool = PoolName(item["pool"].asString());
    load.zone = ZoneName(item["zone"].asString());
    load.urgent_wait = Milliseconds(item["urgent_ms"].asInt64());
    load.long_wait = Milliseconds(item["long_ms"].asInt64());
    load.free_slots = item["free"].asInt();
    this->OnLoad(load);
  }
}

void ZoneRouter::OnLoad(const CellLoad& load) {
  this->View(load.pool).reports[load.zone] = Report{load, Now()};
}

void ZoneRouter::SetZonesOut(const std::set<ZoneName>& zones) {
  if (zones == this->zones_out) {
    return;
  }
  const MonotonicTime now = Now();
  for (std::pair<const PoolName, PoolView>& entry : this->views) {
    for (const ZoneName& zone : zones) {
      entry.second.urgent.SetOut(zone, true, now);
      entry.second.background.SetOut(zone, true, now);
    }
    for (const ZoneName& zone : this->zones_out) {
      if (zones.count(zone) == 0) {
        entry.second.urgent.SetOut(zone, false, now);
        entry.second.background.SetOut(zone, false, now);
      }
    }
  }
  this->zones_out = zones;
}

ZoneRouter::PoolView& ZoneRouter::View(const PoolName& pool) {
  const auto found = this->views.find(pool);
  if (found != this->views.end()) {
    return found->second;
  }
  const CellSelector selector(this->context->zone);
  PoolView& view =
      this->views.emplace(pool, PoolView{{}, {}, selector, selector})
          .first->second;
  for (const ZoneName& zone : this->zones_out) {
    view.urgent.SetOut(zone, true, Now());
    view.background.SetOut(zone, true, Now());
  }
  return view;
}

void ZoneRouter::CountWorkers() {
  if (this->has_worker_counts) {
    return;
  }
  this->has_worker_counts = true;
  for (std::pair<const PoolName, PoolView>& entry : this->views) {
    for (std::pair<const ZoneName, std::size_t>& zone : entry.second.workers) {
      zone.second = 0;
    }
  }
  for (const std::pair<const WorkerName, WorkerInfo>& entry :
       this->directory->workers()) {
    const WorkerInfo& worker = entry.second;
    if (worker.present && !worker.leaving) {
      ++this->View(worker.pool).workers[worker.listed.zone];
    }
  }
}

Duration ZoneRouter::WaitOf(const PoolView& view,
                            const ZoneName& zone,
                            bool urgent,
                            MonotonicTime now) const {
  const auto found = view.reports.find(zone);
  if (found == view.reports.end() ||
      now - found->second.heard_at > kReportLifetime) {
    return Duration::zero();
  }
  const CellLoad& load = found->second.load;
  return urgent ? load.urgent_wait : load.long_wait;
}

CellChoice ZoneRouter::Choose(const PoolName& pool,
                              bool urgent,
                              const ZoneName& refused_by) {
  this->CountWorkers();
  const MonotonicTime now = Now();
  PoolView& view = this->View(pool);
  CellSelector& selector = urgent ? view.urgent : view.background;
  for (const std::pair<const ZoneName, std::size_t>& zone : view.workers) {
    Duration wait = this->WaitOf(view, zone.first, urgent, now);
    if (zone.first == refused_by) {
      wait = std::max<Duration>(wait, kRefusedWait);
    }
    selector.Update(zone.first, zone.second, wait, now);
  }
  return selector.Choose(now, *this->context->random);
}

}  // namespace daisyroad
