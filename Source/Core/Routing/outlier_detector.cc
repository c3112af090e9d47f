#include "Core/Routing/outlier_detector.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace daisyroad {
namespace {

constexpr double kHalfLifeSeconds = 10.0;
constexpr double kMinimumObservations = 5.0;
constexpr double kMaximumUnhealthyFraction = 0.2;
// A worker is an outlier if its failure rate exceeds that of the other workers
// by more than this.
constexpr double kOutlierRateDifference = 0.3;
// If the other workers fail at this rate or above, a common cause is assumed
// and no worker is ejected.
constexpr double kCommonCauseRate = 0.5;
constexpr std::chrono::seconds kBaseEjectionTime{10};
constexpr int kMaximumDoublings = 5;  // at most 320 s
constexpr int kProbationSuccesses = 5;
// A worker that was healthy for longer than this is ejected for
// kBaseEjectionTime again.
constexpr std::chrono::minutes kBackoffResetTime{10};

}  // namespace

void OutlierDetector::Add(const WorkerName& worker) {
  this->workers.try_emplace(worker);
}

void OutlierDetector::Remove(const WorkerName& worker) {
  this->workers.erase(worker);
}

void OutlierDetector::Decay(Entry& entry, MonotonicTime now) {
  const double seconds =
      std::chrono::duration<double>(now - entry.decayed_at).count();
  if (seconds > 0.0) {
    const double decay_factor = std::exp2(-seconds / kHalfLifeSeconds);
    entry.failures *= decay_factor;
    entry.observations *= decay_factor;
    entry.decayed_at = now;
  }
}

void OutlierDetector::Observe(const WorkerName& worker,
                              bool failed,
                              MonotonicTime now) {
  const std::map<WorkerName, Entry>::iterator it = this->workers.find(worker);
  if (it == this->workers.end()) {
    return;
  }
  Entry& entry = it->second;
  if (entry.state == OutlierState::kEjected) {
    return;  // tasks that were started before the ejection
  }
  Decay(entry, now);
  entry.observations += 1.0;
  entry.failures += failed ? 1.0 : 0.0;
  if (entry.state != OutlierState::kProbation) {
    return;
  }
  if (failed && this->FailureRateOfOthers(entry) < kCommonCauseRate) {
    this->Eject(entry, now);
    this->pending_changes.push_back(
        {worker, entry.state, 1.0, this->FailureRateOfOthers(entry)});
  } else if (!failed && ++entry.probation_successes >= kProbationSuccesses) {
    entry.state = OutlierState::kHealthy;
    entry.healthy_since = now;
    this->pending_changes.push_back(
        {worker, entry.state, 0.0, this->FailureRateOfOthers(entry)});
  }
}

void OutlierDetector::Eject(Entry& entry, MonotonicTime now) {
  if (entry.state == OutlierState::kHealthy &&
      now - entry.healthy_since > kBackoffResetTime) {
    entry.consecutive_ejections = 0;
  }
  entry.state = OutlierState::kEjected;
  entry.ejected_until =
      now + kBaseEjectionTime *
                (1 << std::min(entry.consecutive_ejections, kMaximumDoublings));
  ++entry.consecutive_ejections;
  entry.probation_successes = 0;
  entry.failures = 0.0;
  entry.observations = 0.0;
}

double OutlierDetector::FailureRateOfOthers(const Entry& excluded) const {
  double failures = 0.0;
  double observations = 0.0;
  for (const std::pair<const WorkerName, Entry>& item : this->workers) {
    if (&item.second != &excluded) {
      failures += item.second.failures;
      observations += item.second.observations;
    }
  }
  return observations > 0.0 ? failures / observations : 0.0;
}

// Includes workers on probation because they take hardly any load.
std::size_t OutlierDetector::UnhealthyCount() const {
  return static_cast<std::size_t>(
      std::count_if(this->workers.begin(), this->workers.end(),
                    [](const std::pair<const WorkerName, Entry>& item) {
                      return item.second.state != OutlierState::kHealthy;
                    }));
}

bool OutlierDetector::IsOutlier(const Entry& entry) const {
  if (entry.state != OutlierState::kHealthy ||
      entry.observations < kMinimumObservations) {
    return false;
  }
  const double others_rate = this->FailureRateOfOthers(entry);
  return others_rate < kCommonCauseRate &&
         entry.failures / entry.observations >
             others_rate + kOutlierRateDifference;
}

void OutlierDetector::Readmit(MonotonicTime now,
                              std::vector<OutlierChange>& changes) {
  for (std::pair<const WorkerName, Entry>& item : this->workers) {
    Entry& entry = item.second;
    if (entry.state == OutlierState::kEjected && now >= entry.ejected_until) {
      entry.state = OutlierState::kProbation;
      changes.push_back(
          {item.first, entry.state, 0.0, this->FailureRateOfOthers(entry)});
    }
  }
}

std::vector<OutlierChange> OutlierDetector::Evaluate(MonotonicTime now) {
  std::vector<OutlierChange> changes = std::exchange(this->pending_changes, {});
  for (std::pair<const WorkerName, Entry>& item : this->workers) {
    Decay(item.second, now);
  }
  this->Readmit(now, changes);
  std::vector<std::pair<double, WorkerName>> candidates;
  std::size_t failing_count = this->UnhealthyCount();
  for (const std::pair<const WorkerName, Entry>& item : this->workers) {
    if (this->IsOutlier(item.second)) {
      candidates.emplace_back(-item.second.failures / item.second.observations,
                              item.first);
      ++failing_count;
    }
  }
  // If half of the cell or more fails, a common cause is assumed even if each
  // of these workers is an outlier.
  if (failing_count * 2 >= this->workers.size() && failing_count > 1) {
    return changes;
  }
  std::sort(candidates.begin(), candidates.end());
  const std::size_t maximum_unhealthy = static_cast<std::size_t>(
      kMaximumUnhealthyFraction * static_cast<double>(this->workers.size()));
  for (const std::pair<double, WorkerName>& candidate : candidates) {
    if (this->UnhealthyCount() >= maximum_unhealthy) {
      break;
    }
    Entry& entry = this->workers[candidate.second];
    const double others_rate = this->FailureRateOfOthers(entry);
    this->Eject(entry, now);
    changes.push_back(
        {candidate.second, entry.state, -candidate.first, others_rate});
  }
  return changes;
}

OutlierState OutlierDetector::State(const WorkerName& worker) const {
  const std::map<WorkerName, Entry>::const_iterator it =
      this->workers.find(worker);
  return it == this->workers.end() ? OutlierState::kHealthy : it->second.state;
}

bool OutlierDetector::MayStart(const WorkerName& worker,
                               std::size_t running) const {
  const OutlierState state = this->State(worker);
  return state == OutlierState::kHealthy ||
         (state == OutlierState::kProbation && running == 0);
}

}  // namespace daisyroad
