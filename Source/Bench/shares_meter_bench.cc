#include "Bench/shares_meter.h"

#include <cmath>
#include <numeric>

namespace daisyroad {
namespace {

constexpr double kWindow = 30.0;  // seconds
constexpr double kStride = 5.0;

std::size_t TickCount(double seconds) {
  return static_cast<std::size_t>(std::lround(seconds / kSharesTick));
}

// Share per unit of weight by progressive filling: teams without waiting work
// keep what they use up to their share, the rest is split between the others.
double FairRate(const std::vector<double>& weights,
                double slots,
                const std::vector<std::size_t>& waiting,
                const std::vector<double>& running) {
  double weight = std::accumulate(weights.begin(), weights.end(), 0.0);
  double room = slots;
  std::vector<bool> satisfied(weights.size(), false);
  for (bool changed = true; changed;) {
    changed = false;
    for (std::size_t i = 0; i < weights.size(); ++i) {
      if (!satisfied[i] && waiting[i] == 0 &&
          running[i] <= room * weights[i] / weight) {
        satisfied[i] = true;
        room -= running[i];
        weight -= weights[i];
        changed = true;
      }
    }
  }
  return weight > 0.0 ? room / weight : 0.0;
}

}  // namespace

SharesMeter::SharesMeter(const SharesSite& cell)
    : weights(cell.weights),
      slots(cell.worker.slots * static_cast<double>(cell.workers)),
      ticks(cell.weights.size()) {}

void SharesMeter::Sample(double now,
                         const std::vector<std::size_t>& waiting,
                         const std::vector<std::size_t>& long_waiting,
                         const std::vector<double>& running,
                         double urgent_running) {
  const double step = now - this->last;
  this->last = now;
  const double rate = FairRate(this->weights, this->slots, waiting, running);
  for (std::size_t i = 0; i < this->weights.size(); ++i) {
    this->ticks[i].push_back(
        {running[i] * step, rate * this->weights[i] * step, waiting[i] > 0});
  }
  if (now <= kSharesWarmUp) {
    return;
  }
  const std::size_t backlog =
      std::accumulate(long_waiting.begin(), long_waiting.end(), std::size_t{0});
  const double all = std::accumulate(running.begin(), running.end(), 0.0);
  this->available +=
      ((backlog > 0 ? this->slots : all) - urgent_running) * step;
}

std::vector<double> SharesMeter::Deviations() const {
  std::vector<double> deviations;
  const std::size_t length = TickCount(kWindow);
  for (const std::vector<Tick>& team : this->ticks) {
    for (std::size_t begin = TickCount(kSharesWarmUp);
         begin + length <= team.size(); begin += TickCount(kStride)) {
      double received = 0.0;
      double entitled = 0.0;
      bool always = true;
      for (std::size_t i = begin; i < begin + length; ++i) {
        received += team[i].received;
        entitled += team[i].entitled;
        always = always && team[i].backlogged;
      }
      if (always && entitled > 0.0) {
        deviations.push_back(std::abs(received - entitled) / entitled);
      }
    }
  }
  return deviations;
}

}  // namespace daisyroad
