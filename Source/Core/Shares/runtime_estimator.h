#ifndef SOURCE_CORE_SHARES_RUNTIME_ESTIMATOR_H_
#define SOURCE_CORE_SHARES_RUNTIME_ESTIMATOR_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "Core/Common/identifiers.h"
#include "Core/Common/time.h"
#include "Core/Shares/resources.h"

namespace daisyroad {

// Estimates the size and run time of the tasks of each (team, queue) from the
// most recent tasks that ended. Memory is bounded: the least recently observed
// queue is evicted first.
class RuntimeEstimator {
 public:
  static constexpr std::size_t kWindowSize = 32;  // samples per queue
  static constexpr std::size_t kMinimumSamples = 5;
  static constexpr std::size_t kMaximumQueues = 4096;

  void Observe(const TeamName& team,
               const QueueName& queue,
               const Resources& usage,
               Duration run_time);

  // The 0.9 quantile of the observed cores and memory, or the declared values
  // while there are fewer than kMinimumSamples. Slots and accelerators are
  // always as declared because the worker assigns them in whole units.
  Resources Size(const TeamName& team,
                 const QueueName& queue,
                 const Resources& declared) const;

  // Mean observed run time, or `fallback` while there are fewer than
  // kMinimumSamples.
  Duration RunTime(const TeamName& team,
                   const QueueName& queue,
                   Duration fallback) const;

  std::size_t queue_count() const { return this->histories.size(); }

 private:
  using Key = std::pair<TeamName, QueueName>;
  struct Sample {
    double cores;
    double memory_gb;
    double seconds;
  };
  struct QueueHistory {
    std::vector<Sample> samples;  // ring buffer
    std::size_t oldest_sample = 0;
    std::uint64_t last_observed = 0;
    double cores_quantile = 0.0;
    double memory_gb_quantile = 0.0;
    double mean_seconds = 0.0;
  };

  const QueueHistory* Find(const TeamName& team, const QueueName& queue) const;
  void EvictOldest();

  std::map<Key, QueueHistory> histories;
  std::uint64_t observation_count = 0;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_SHARES_RUNTIME_ESTIMATOR_H_
