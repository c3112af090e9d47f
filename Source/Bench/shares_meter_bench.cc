#include "Bench/shares_meter.h"

#include <cmath>
#include <numeric>

namespace daisyroad {
namespace {

constexpr double kWindowSeconds = 30.0;
constexpr double kWindowStepSeconds = 5.0;

std::size_t SampleCount(double seconds) {
  return static_cast<std::size_t>(std::lround(seconds / kSharesSampleInterval));
}

// Returns the share per unit of weight, by progressive filling (max-min
// fairness): teams without waiting tasks keep the slots that they use, up to
// their share; the remaining slots are split between the other teams.
double FairSharePerWeight(const std::vector<double>& weights,
                          double slots,
                          const std::vector<std::size_t>& waiting,
                          const std::vector<double>& running) {
  double weight = std::accumulate(weights.begin(), weights.end(), 0.0);
  double remaining_slots = slots;
  std::vector<bool> satisfied(weights.size(), false);
  for (bool changed = true; changed;) {
    changed = false;
    for (std::size_t i = 0; i < weights.size(); ++i) {
      if (!satisfied[i] && waiting[i] == 0 &&
          running[i] <= remaining_slots * weights[i] / weight) {
        satisfied[i] = true;
        remaining_slots -= running[i];
        weight -= weights[i];
        changed = true;
      }
    }
  }
  return weight > 0.0 ? remaining_slots / weight : 0.0;
}

}  // namespace

SharesMeter::SharesMeter(const SharesScenario& cell)
    : weights(cell.weights),
      slots(cell.worker_capacity.slots * static_cast<double>(cell.workers)),
      samples(cell.weights.size()) {}

void SharesMeter::Sample(double now,
                         const std::vector<std::size_t>& waiting,
                         const std::vector<std::size_t>& long_waiting,
                         const std::vector<double>& running,
                         double urgent_running) {
  const double elapsed = now - this->last_sample_time;
  this->last_sample_time = now;
  const double share_per_weight =
      FairSharePerWeight(this->weights, this->slots, waiting, running);
  for (std::size_t i = 0; i < this->weights.size(); ++i) {
    this->samples[i].push_back({running[i] * elapsed,
                                share_per_weight * this->weights[i] * elapsed,
                                waiting[i] > 0});
  }
  if (now <= kSharesWarmUp) {
    return;
  }
  const std::size_t backlog =
      std::accumulate(long_waiting.begin(), long_waiting.end(), std::size_t{0});
  const double total_running =
      std::accumulate(running.begin(), running.end(), 0.0);
  this->available_slot_seconds +=
      ((backlog > 0 ? this->slots : total_running) - urgent_running) * elapsed;
}

std::vector<double> SharesMeter::Deviations() const {
  std::vector<double> deviations;
  const std::size_t length = SampleCount(kWindowSeconds);
  for (const std::vector<ShareSample>& team : this->samples) {
    for (std::size_t begin = SampleCount(kSharesWarmUp);
         begin + length <= team.size();
         begin += SampleCount(kWindowStepSeconds)) {
      double received = 0.0;
      double entitled = 0.0;
      bool is_always_backlogged = true;
      for (std::size_t i = begin; i < begin + length; ++i) {
        received += team[i].received;
        entitled += team[i].entitled;
        is_always_backlogged = is_always_backlogged && team[i].backlogged;
      }
      if (is_always_backlogged && entitled > 0.0) {
        deviations.push_back(std::abs(received - entitled) / entitled);
      }
    }
  }
  return deviations;
}

}  // namespace daisyroad
