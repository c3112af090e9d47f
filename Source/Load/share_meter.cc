#include "Load/share_meter.h"

#include <algorithm>
#include <map>
#include <string>

#include "Core/Declaration/declaration.h"

namespace daisyroad {
namespace {

constexpr Milliseconds kSampleInterval{100};
// A pool counts as full from this fraction of its slots on, because a slot is
// briefly empty between two tasks.
constexpr double kFullFraction = 0.9;

// Number of intervals that cover each sample, stored as differences.
class SampledCounts {
 public:
  SampledCounts(WallTime start, std::size_t sample_count)
      : start(start), changes(sample_count + 1) {}

  void Add(WallTime from, WallTime to) {
    ++this->changes[this->SampleIndex(from)];
    --this->changes[this->SampleIndex(to)];
  }

  std::vector<int> Counts() const {
    std::vector<int> counts;
    counts.reserve(this->changes.size());
    int count = 0;
    for (const int change : this->changes) {
      count += change;
      counts.push_back(count);
    }
    return counts;
  }

 private:
  std::size_t SampleIndex(WallTime time) const {
    const std::int64_t sample = (time - this->start) / kSampleInterval;
    return static_cast<std::size_t>(std::clamp<std::int64_t>(
        sample, 0, static_cast<std::int64_t>(this->changes.size()) - 1));
  }

  WallTime start;
  std::vector<int> changes;
};

class PoolShares {
 public:
  PoolShares(const Declaration& declaration,
             const Pool& pool,
             const LoadRunResult& run)
      : declaration(declaration),
        pool(pool),
        run(run),
        sample_count(static_cast<std::size_t>((run.ended - run.started) /
                                              kSampleInterval) +
                     1) {}

  std::vector<ShareUse> Measure(const std::vector<StartRecord>& starts) {
    std::map<std::string, WallTime> first_start;
    for (const StartRecord& start : starts) {
      const auto known = first_start.emplace(start.echo, start.started).first;
      known->second = std::min(known->second, start.started);
      if (start.pool == this->pool.name) {
        this->Counter(&this->running, start.team)
            .Add(start.started, start.ended);
      }
    }
    for (const CallRecord& call : this->run.calls) {
      if (this->Uses(call.plan.queue) && call.state != CallState::kNotSent) {
        const auto start = first_start.find(call.plan.echo);
        this->Counter(&this->waiting, call.plan.team)
            .Add(call.sent,
                 start == first_start.end() ? call.ended : start->second);
      }
    }
    return this->Compare();
  }

 private:
  using Counters = std::map<TeamName, SampledCounts>;
  using Series = std::map<TeamName, std::vector<int>>;

  SampledCounts& Counter(Counters* counters, const TeamName& team) {
    return counters->try_emplace(team, this->run.started, this->sample_count)
        .first->second;
  }

  bool Uses(const QueueName& name) const {
    const TaskQueue* queue = this->declaration.FindQueue(name);
    const Service* service =
        queue == nullptr ? nullptr
                         : this->declaration.FindService(queue->service);
    return service != nullptr && service->pool == this->pool.name;
  }

  static Series ToSeries(const Counters& counters) {
    Series series;
    for (const std::pair<const TeamName, SampledCounts>& counter : counters) {
      series[counter.first] = counter.second.Counts();
    }
    return series;
  }

  std::vector<ShareUse> Compare() {
    const Series run_counts = ToSeries(this->running);
    const Series wait_counts = ToSeries(this->waiting);
    std::map<TeamName, ShareUse> uses;
    for (std::size_t sample = 0; sample < this->sample_count; ++sample) {
      if (this->IsFull(run_counts, sample)) {
        this->AddSample(run_counts, wait_counts, sample, &uses);
      }
    }
    std::vector<ShareUse> list;
    list.reserve(uses.size());
    for (const std::pair<const TeamName, ShareUse>& use : uses) {
      list.push_back(use.second);
    }
    return list;
  }

  bool IsFull(const Series& run_counts, std::size_t sample) const {
    int total = 0;
    for (const std::pair<const TeamName, std::vector<int>>& team : run_counts) {
      total += team.second[sample];
    }
    const std::int64_t slots =
        this->pool.TotalWorkers() * this->pool.worker.slots;
    return slots > 0 && total >= kFullFraction * static_cast<double>(slots);
  }

  void AddSample(const Series& run_counts,
                 const Series& wait_counts,
                 std::size_t sample,
                 std::map<TeamName, ShareUse>* uses) const {
    double shares = 0.0;
    double used = 0.0;
    std::vector<const Team*> backlogged;
    for (const Team& team : this->declaration.teams) {
      const auto waits = wait_counts.find(team.name);
      const auto runs = run_counts.find(team.name);
      if (waits == wait_counts.end() || waits->second[sample] <= 0) {
        continue;
      }
      const int count = runs == run_counts.end() ? 0 : runs->second[sample];
      if (count >= team.upper_limit) {
        continue;  // held back by its limit, not by its share
      }
      backlogged.push_back(&team);
      shares += static_cast<double>(team.share);
      used += count;
    }
    if (backlogged.size() < 2) {
      return;
    }
    const double seconds =
        std::chrono::duration<double>(kSampleInterval).count();
    for (const Team* team : backlogged) {
      ShareUse& use = (*uses)[team->name];
      use.pool = this->pool.name;
      use.team = team->name;
      use.busy_seconds += seconds;
      const auto runs = run_counts.find(team->name);
      const int count = runs == run_counts.end() ? 0 : runs->second[sample];
      use.slot_seconds += seconds * count;
      use.due_slot_seconds +=
          seconds * used * static_cast<double>(team->share) / shares;
    }
  }

  const Declaration& declaration;
  const Pool& pool;
  const LoadRunResult& run;
  std::size_t sample_count;
  Counters running;
  Counters waiting;
};

}  // namespace

std::vector<ShareUse> MeasureShares(const Declaration& declaration,
                                    const LoadRunResult& run,
                                    const std::vector<StartRecord>& starts) {
  std::vector<ShareUse> uses;
  for (const Pool& pool : declaration.pools) {
    const std::vector<ShareUse> of_pool =
        PoolShares(declaration, pool, run).Measure(starts);
    uses.insert(uses.end(), of_pool.begin(), of_pool.end());
  }
  return uses;
}

}  // namespace daisyroad
