#include "Load/demand_plan.h"

#include <algorithm>
#include <cmath>

#include "Core/Common/random.h"
#include "Core/Declaration/declaration.h"

namespace daisyroad {
namespace {

constexpr double kBurstFactor = 5.0;
constexpr double kQuietFactor = 0.05;
constexpr std::uint64_t kMostAnswerBytes = 2000;

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
      const bool busy = this->IsBurst(index, at);
      const double rate =
          busy ? burst_rate : burst_rate / kBurstFactor * kQuietFactor;
      // A quiet gap ends at the next turn of the queue at the latest.
      const Duration gap =
          this->random.Exponential(std::chrono::duration_cast<Duration>(
              std::chrono::duration<double>(1.0 / rate)));
      const Duration step = busy ? gap : std::min<Duration>(gap, kQuietStep);
      at += step;
      if (at < end && step == gap) {
        this->AddCall(queue, index, at);
      }
    }
  }

  // Calls a second that `overload` times fill the pool of the queue.
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
    return queue.queue_class == QueueClass::kUrgent ? this->settings.urgent_run
                                                    : this->settings.long_run;
  }

  bool IsBurst(std::size_t index, Duration at) const {
    const std::size_t turn =
        static_cast<std::size_t>(at / this->settings.burst);
    return turn % this->declaration.queues.size() == index;
  }

  // The same for every call of a burst: its own generator, seeded by the turn.
  bool InWave(std::size_t index, Duration at) const {
    if (!this->IsBurst(index, at)) {
      return false;
    }
    const std::uint64_t turn =
        static_cast<std::uint64_t>(at / this->settings.burst);
    Random wave(this->settings.seed ^ (turn * 0x9e3779b97f4a7c15ULL));
    return wave.Chance(this->settings.wave);
  }

  void AddCall(const TaskQueue& queue, std::size_t index, Duration at) {
    PlannedCall call;
    call.at = std::chrono::duration_cast<Milliseconds>(at);
    call.echo = this->settings.label + "-" + std::to_string(this->calls.size());
    call.team = this->ChooseTeam(queue);
    call.queue = queue.name;
    call.idempotent = queue.idempotent;
    call.with_key =
        !queue.idempotent || !this->random.Chance(this->settings.without_key);
    const double factor = 0.5 + this->random.Fraction();
    call.run = std::chrono::duration_cast<Milliseconds>(
        std::chrono::duration<double>(this->MeanRun(queue)) * factor);
    call.deadline =
        std::min(queue.default_deadline, this->settings.longest_deadline);
    if (this->random.Chance(this->settings.wrongly_declared)) {
      call.cores = this->random.Chance(0.5) ? 4.0 : 0.25;
    }
    call.answer_bytes = static_cast<int>(this->random.Below(kMostAnswerBytes));
    call.fails = this->random.Chance(this->settings.failing);
    if (this->InWave(index, at) &&
        this->random.Chance(this->settings.cancelled_in_wave)) {
      call.cancel_after = Milliseconds(100 + this->random.Below(900));
    }
    this->calls.push_back(std::move(call));
  }

  // Teams ask by the square root of their share, so that small ones ask for
  // more than their share and large ones for less.
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
    return TeamName();  // a queue that is open to all
  }

  static constexpr Milliseconds kQuietStep{200};

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
