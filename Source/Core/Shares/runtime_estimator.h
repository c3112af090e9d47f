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

// Learns the sizes and run times of the tasks of each (team, queue) from the
// last tasks that ended. Memory is bounded: the pair that was observed longest
// ago is forgotten first.
class RuntimeEstimator {
 public:
  static constexpr std::size_t kWindow = 32;  // tasks remembered per pair
  static constexpr std::size_t kMinimumSamples = 5;
  static constexpr std::size_t kMaximumPairs = 4096;

  void Observe(const TeamName& team,
               const QueueName& queue,
               const Resources& usage,
               Duration run_time);

  // The 0.9 quantile of cores and memory seen, or the declared values while
  // there are too few samples. Slots and accelerators are granted as whole
  // units by the worker and stay as declared.
  Resources Size(const TeamName& team,
                 const QueueName& queue,
                 const Resources& declared) const;

  // Mean run time seen, or `fallback` while there are too few samples.
  Duration RunTime(const TeamName& team,
                   const QueueName& queue,
                   Duration fallback) const;

  std::size_t pair_count() const { return this->pairs.size(); }

 private:
  using Key = std::pair<TeamName, QueueName>;
  struct Sample {
    double cores;
    double memory_gb;
    double seconds;
  };
  struct Pair {
    std::vector<Sample> samples;  // ring buffer
    std::size_t oldest = 0;
    std::uint64_t last_observed = 0;
    double cores = 0.0;
    double memory_gb = 0.0;
    double seconds = 0.0;
  };

  const Pair* Find(const TeamName& team, const QueueName& queue) const;
  void EvictOldest();

  std::map<Key, Pair> pairs;
  std::uint64_t observations = 0;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_SHARES_RUNTIME_ESTIMATOR_H_
