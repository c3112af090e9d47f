// Capacity and demand of a pool, as reported to the machine planner.

#include <algorithm>
#include <cmath>

#include "Core/Jobs/pool_scheduler.h"

namespace daisyroad {
namespace {

// The remaining work of a job that is late or almost late is planned over this
// time.
constexpr Milliseconds kMinTimeToObjective{2000};
constexpr double kMillisecondsPerSecond = 1000.0;

// The extrapolated arrival rate exceeds the current one by at most this
// fraction, because a few jobs that arrive together look like a steep trend.
constexpr double kMaxGrowth = 1.0;

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
  // The largest job is excluded, since a single job is not a burst.
  return (arrived - largest) /
         static_cast<double>(this->settings.demand_window.count());
}

double PoolScheduler::ExpectedArrivals(MonotonicTime now) const {
  const Milliseconds window = this->settings.demand_window;
  const MonotonicTime end = now + Milliseconds(1);  // includes arrivals at now
  const double rate = this->ArrivalRate(end - window, end);
  const double before = this->ArrivalRate(end - 2 * window, end - window);
  const double lead =
      static_cast<double>(this->settings.machine_lead_time.count()) /
      static_cast<double>(window.count());
  const double chance = this->settings.requires_clear_trend
                            ? this->ArrivalDeviation(end - 2 * window, end)
                            : 0.0;
  const double growth = std::max(0.0, rate - before - chance) * lead;
  return rate + std::min(growth, kMaxGrowth * rate);
}

double PoolScheduler::ArrivalDeviation(MonotonicTime from,
                                       MonotonicTime to) const {
  double sum_of_squares = 0.0;
  for (const std::pair<MonotonicTime, double>& arrival : this->arrivals) {
    if (arrival.first >= from && arrival.first < to) {
      sum_of_squares += arrival.second * arrival.second;
    }
  }
  return std::sqrt(sum_of_squares) /
         static_cast<double>(this->settings.demand_window.count());
}

PoolLoad PoolScheduler::Load(MonotonicTime now, WallTime wall) const {
  PoolLoad load;
  load.waiting = this->waiting_millicores;
  double needed = 0.0;
  for (const std::pair<const JobId, JobState*>& entry : this->open_jobs) {
    const JobState& job = *entry.second;
    const Milliseconds left =
        std::max(kMinTimeToObjective,
                 job.objective - std::chrono::floor<Milliseconds>(wall));
    needed += job.remaining_work / static_cast<double>(left.count());
  }
  // The open jobs show the demand of a burst only once it has filled the pool,
  // and new machines take seconds to arrive. The arrival rate shows it earlier.
  load.needed = static_cast<std::int64_t>(
      kMillisecondsPerSecond * std::max(needed, this->ExpectedArrivals(now)));
  for (const std::pair<const WorkerName, WorkerState>& entry : this->workers) {
    const WorkerState& worker = entry.second;
    if (this->IsUsable(worker, now)) {
      load.capacity += worker.listing.capacity.cpu_millicores;
      load.used += worker.used.cpu_millicores;
      ++load.usable_workers;
    }
    // The runs of a worker that has not reported are unknown.
    if (!worker.has_reported) {
      continue;
    }
    PoolLoad::Worker& row = load.workers[entry.first];
    row.is_vacating = worker.is_vacating;
    row.runs = static_cast<int>(worker.runs.size());
    row.service_runs = worker.service_runs;
    load.services += worker.service_use.cpu_millicores;
  }
  return load;
}

}  // namespace daisyroad
