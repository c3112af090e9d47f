#include "Core/Routing/outlier_detector.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace daisyroad {
namespace {

constexpr double kHalfLifeSeconds = 10.0;
constexpr double kMinimumObservations = 5.0;
constexpr double kMaximumOutFraction = 0.2;
// A worker differs when its failure rate is this much above that of the others.
constexpr double kRateDifference = 0.3;
// Above this rate of the other workers the cause is taken to be common.
constexpr double kCommonCauseRate = 0.5;
constexpr std::chrono::seconds kFirstEjection{10};
constexpr int kMaximumDoublings = 5;  // 320 s
constexpr int kProbationSuccesses = 5;
// After this time without an ejection the backoff starts anew.
constexpr std::chrono::minutes kForgive{10};

}  // namespace

void OutlierDetector::Add(const WorkerName& worker) {
  this->workers.try_emplace(worker);
}

void OutlierDetector::Remove(const WorkerName& worker) {
  this->workers.erase(worker);
}

void OutlierDetector::Decay(Entry& entry, MonotonicTime now) {
  const double seconds =
      std::chrono::duration<double>(now - entry.updated).count();
  if (seconds > 0.0) {
    const double kept = std::exp2(-seconds / kHalfLifeSeconds);
    entry.failures *= kept;
    entry.total *= kept;
    entry.updated = now;
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
    return;  // ends of tasks that started before the ejection
  }
  Decay(entry, now);
  entry.total += 1.0;
  entry.failures += failed ? 1.0 : 0.0;
  if (entry.state != OutlierState::kProbation) {
    return;
  }
  if (failed && this->RateOfOthers(entry) < kCommonCauseRate) {
    this->Eject(entry, now);
    this->pending.push_back(
        {worker, entry.state, 1.0, this->RateOfOthers(entry)});
  } else if (!failed && ++entry.probation_passed >= kProbationSuccesses) {
    entry.state = OutlierState::kHealthy;
    entry.healthy_since = now;
    this->pending.push_back(
        {worker, entry.state, 0.0, this->RateOfOthers(entry)});
  }
}

void OutlierDetector::Eject(Entry& entry, MonotonicTime now) {
  if (entry.state == OutlierState::kHealthy &&
      now - entry.healthy_since > kForgive) {
    entry.ejections = 0;
  }
  entry.state = OutlierState::kEjected;
  entry.until = now + kFirstEjection *
                          (1 << std::min(entry.ejections, kMaximumDoublings));
  ++entry.ejections;
  entry.probation_passed = 0;
  entry.failures = 0.0;
  entry.total = 0.0;
}

double OutlierDetector::RateOfOthers(const Entry& except) const {
  double failures = 0.0;
  double total = 0.0;
  for (const std::pair<const WorkerName, Entry>& item : this->workers) {
    if (&item.second != &except) {
      failures += item.second.failures;
      total += item.second.total;
    }
  }
  return total > 0.0 ? failures / total : 0.0;
}

// Workers on probation count: they carry hardly any load.
std::size_t OutlierDetector::OutCount() const {
  return static_cast<std::size_t>(
      std::count_if(this->workers.begin(), this->workers.end(),
                    [](const std::pair<const WorkerName, Entry>& item) {
                      return item.second.state != OutlierState::kHealthy;
                    }));
}

bool OutlierDetector::Differs(const Entry& entry) const {
  if (entry.state != OutlierState::kHealthy ||
      entry.total < kMinimumObservations) {
    return false;
  }
  const double others = this->RateOfOthers(entry);
  return others < kCommonCauseRate &&
         entry.failures / entry.total > others + kRateDifference;
}

void OutlierDetector::Readmit(MonotonicTime now,
                              std::vector<OutlierChange>& changes) {
  for (std::pair<const WorkerName, Entry>& item : this->workers) {
    Entry& entry = item.second;
    if (entry.state == OutlierState::kEjected && now >= entry.until) {
      entry.state = OutlierState::kProbation;
      changes.push_back(
          {item.first, entry.state, 0.0, this->RateOfOthers(entry)});
    }
  }
}

std::vector<OutlierChange> OutlierDetector::Evaluate(MonotonicTime now) {
  std::vector<OutlierChange> changes = std::exchange(this->pending, {});
  for (std::pair<const WorkerName, Entry>& item : this->workers) {
    Decay(item.second, now);
  }
  this->Readmit(now, changes);
  std::vector<std::pair<double, WorkerName>> candidates;
  std::size_t failing = this->OutCount();
  for (const std::pair<const WorkerName, Entry>& item : this->workers) {
    if (this->Differs(item.second)) {
      candidates.emplace_back(-item.second.failures / item.second.total,
                              item.first);
      ++failing;
    }
  }
  // Failures of half the cell or more have a common cause, even if each of
  // these workers differs from the rest.
  if (failing * 2 >= this->workers.size() && failing > 1) {
    return changes;
  }
  std::sort(candidates.begin(), candidates.end());
  const std::size_t allowed = static_cast<std::size_t>(
      kMaximumOutFraction * static_cast<double>(this->workers.size()));
  for (const std::pair<double, WorkerName>& candidate : candidates) {
    if (this->OutCount() >= allowed) {
      break;
    }
    Entry& entry = this->workers[candidate.second];
    const double others = this->RateOfOthers(entry);
    this->Eject(entry, now);
    changes.push_back(
        {candidate.second, entry.state, -candidate.first, others});
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
