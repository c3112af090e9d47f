#include "Load/demand_plan.h"

#include <algorithm>
#include <cmath>

#include "Core/Common/random.h"
#include "Core/Declaration/declaration.h"

namespace daisyroad {
namespace {

constexpr double kBurstToMeanRatio = 5.0;
constexpr double kQuietToMeanRatio = 0.05;
constexpr std::uint64_t kMaxAnswerBytes = 2000;

class DemandPlanner {
 public:
  DemandPlanner(const Declaration& declaration, const DemandSettings& settings)
      : declaration(declaration), settings(settings), random(settings.seed) {}

  std::vector<PlannedCall> Plan() {
    for (std::size_t i = 0; i < this->declaration.queues.size(); ++i) {
      this->PlanQueue(i);
    }
    std::stable_sort(
        this->calls.begin(), this->calls.end(),
        [](const PlannedCall& a, const PlannedCall& b) { return a.at < b.at; });
    return std::move(this->calls);
  }

 private:
  void PlanQueue(std::size_t index) {
    const TaskQueue& queue = this->declaration.queues[index];
    const double burst_rate = this->BurstRate(queue);
    const Duration end = this->settings.length;
    Duration at = Duration::zero();
    while (at < end) {
      const bool is_burst = this->IsBurst(index, at);
      const double rate =
          is_burst ? burst_rate
                   : burst_rate / kBurstToMeanRatio * kQuietToMeanRatio;
      // Between bursts the gap is capped so that the next burst is not skipped.
      const Duration gap =
          this->random.Exponential(std::chrono::duration_cast<Duration>(
              std::chrono::duration<double>(1.0 / rate)));
      const Duration step =
          is_burst ? gap : std::min<Duration>(gap, kMaxQuietStep);
      at += step;
      if (at < end && step == gap) {
        this->AddCall(queue, index, at);
      }
    }
  }

  // Calls per second that request `overload` times the capacity of the pool of
  // the queue.
  double BurstRate(const TaskQueue& queue) const {
    const Service* service = this->declaration.FindService(queue.service);
    const Pool* pool = this->declaration.FindPool(service->pool);
    const double slots =
        static_cast<double>(pool->TotalWorkers() * pool->worker.slots);
    const double run =
        std::chrono::duration<double>(this->MeanRun(queue)).count();
    return this->settings.overload * slots / run;
  }

  Milliseconds MeanRun(const TaskQueue& queue) const {
    return queue.queue_class == QueueClass::kUrgent
               ? this->settings.mean_urgent_run
               : this->settings.mean_long_run;
  }

  bool IsBurst(std::size_t index, Duration at) const {
    const std::size_t turn =
        static_cast<std::size_t>(at / this->settings.burst);
    return turn % this->declaration.queues.size() == index;
  }

  // Uses a generator seeded by the number of the burst, so that all calls of a
  // burst get the same result.
  bool IsInCancellationWave(std::size_t index, Duration at) const {
    if (!this->IsBurst(index, at)) {
      return false;
    }
    const std::uint64_t turn =
        static_cast<std::uint64_t>(at / this->settings.burst);
    Random wave(this->settings.seed ^ (turn * 0x9e3779b97f4a7c15ULL));
    return wave.Chance(this->settings.wave_fraction);
  }

  void AddCall(const TaskQueue& queue, std::size_t index, Duration at) {
    PlannedCall call;
    call.at = std::chrono::duration_cast<Milliseconds>(at);
    call.echo = this->settings.label + "-" + std::to_string(this->calls.size());
    call.team = this->ChooseTeam(queue);
    call.queue = queue.name;
    call.idempotent = queue.idempotent;
    call.has_idempotency_key =
        !queue.idempotent ||
        !this->random.Chance(this->settings.without_key_fraction);
    const double factor = 0.5 + this->random.Fraction();
    call.run = std::chrono::duration_cast<Milliseconds>(
        std::chrono::duration<double>(this->MeanRun(queue)) * factor);
    call.deadline =
        std::min(queue.default_deadline, this->settings.max_deadline);
    if (this->random.Chance(this->settings.misdeclared_fraction)) {
      call.cores = this->random.Chance(0.5) ? 4.0 : 0.25;
    }
    call.answer_bytes = static_cast<int>(this->random.Below(kMaxAnswerBytes));
    call.fails = this->random.Chance(this->settings.failing_fraction);
    if (this->IsInCancellationWave(index, at) &&
        this->random.Chance(this->settings.cancelled_in_wave_fraction)) {
      call.cancel_after = Milliseconds(100 + this->random.Below(900));
    }
    this->calls.push_back(std::move(call));
  }

  // Weights teams by the square root of their share, so that small teams
  // request more than their share and large teams less.
  TeamName ChooseTeam(const TaskQueue& queue) {
    std::vector<std::pair<TeamName, double>> weights;
    double total = 0.0;
    for (const Team& team : this->declaration.teams) {
      if (std::find(team.queues.begin(), team.queues.end(), queue.name) !=
          team.queues.end()) {
        total += std::sqrt(static_cast<double>(team.share));
        weights.emplace_back(team.name, total);
      }
    }
    const double point = this->random.Fraction() * total;
    for (const std::pair<TeamName, double>& weight : weights) {
      if (point < weight.second) {
        return weight.first;
      }
    }
    return TeamName();  // the queue is open to all teams
  }

  static constexpr Milliseconds kMaxQuietStep{200};

  const Declaration& declaration;
  const DemandSettings& settings;
  Random random;
  std::vector<PlannedCall> calls;
};

}  // namespace

std::vector<PlannedCall> PlanDemand(const Declaration& declaration,
                                    const DemandSettings& settings) {
  return DemandPlanner(declaration, settings).Plan();
}

}  // namespace daisyroad
