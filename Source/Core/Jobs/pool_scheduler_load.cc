// What a pool needs and holds, as those who size it are told.

#include <algorithm>

#include "Core/Jobs/pool_scheduler.h"

namespace daisyroad {
namespace {

// The work of a job that is late or nearly so is wanted within this time.
constexpr Milliseconds kShortestNeed{2000};
constexpr double kMillisecondsPerSecond = 1000.0;

// The work that is expected to arrive exceeds what arrives now by at most this
// part of it: a few jobs that come together look like a steep trend.
constexpr double kMostGrowth = 1.0;

}  // namespace

double PoolScheduler::ArrivalRate(MonotonicTime from, MonotonicTime to) const {
  double arrived = 0.0;
  double largest = 0.0;
  for (const std::pair<MonotonicTime, double>& arrival : this->arrivals) {
    if (arrival.first >= from && arrival.first < to) {
      arrived += arrival.second;
      largest = std::max(largest, arrival.second);
    }
  }
  // The largest job is left out: one alone is no burst.
  return (arrived - largest) /
         static_cast<double>(this->settings.demand_window.count());
}

double PoolScheduler::ExpectedArrivals(MonotonicTime now) const {
  const Milliseconds window = this->settings.demand_window;
  const MonotonicTime end = now + Milliseconds(1);  // includes those of now
  const double rate = this->ArrivalRate(end - window, end);
  const double before = this->ArrivalRate(end - 2 * window, end - window);
  const double lead = static_cast<double>(this->settings.machine_lead.count()) /
                      static_cast<double>(window.count());
  const double growth = std::max(0.0, rate - before) * lead;
  return rate + std::min(growth, kMostGrowth * rate);
}

PoolLoad PoolScheduler::Load(MonotonicTime now, WallTime wall) const {
  PoolLoad load;
  load.waiting = this->waiting_millicores;
  double needed = 0.0;
  for (const JobId& id : this->open_jobs) {
    const JobState& job = this->jobs.at(id);
    const Milliseconds left = std::max(
        kShortestNeed,
        std::chrono::duration_cast<Milliseconds>(job.objective - wall));
    needed += job.remaining_work / static_cast<double>(left.count());
  }
  // The open jobs say what is needed only once a burst has filled the pool, and
  // machines take seconds to come; the work that arrives says so sooner.
  load.needed = static_cast<std::int64_t>(
      kMillisecondsPerSecond * std::max(needed, this->ExpectedArrivals(now)));
  for (const std::pair<const WorkerName, WorkerState>& entry : this->workers) {
    const WorkerState& worker = entry.second;
    if (this->IsUsable(worker, now)) {
      load.capacity += worker.listing.capacity.cpu_millicores;
      load.used += worker.used.cpu_millicores;
      ++load.usable_workers;
    }
    // What runs on a worker that has not answered is not known.
    if (!worker.is_known) {
      continue;
    }
    PoolLoad::Worker& row = load.workers[entry.first];
    row.is_vacating = worker.is_vacating;
    row.runs = static_cast<int>(worker.runs.size());
    row.service_runs = worker.service_runs;
    load.services += worker.service_millicores;
  }
  return load;
}

}  // namespace daisyroad
