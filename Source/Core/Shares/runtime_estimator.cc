#include "Core/Shares/runtime_estimator.h"

#include <algorithm>
#include <chrono>

namespace daisyroad {
namespace {

constexpr double kSizeQuantile = 0.9;

double Quantile(std::vector<double> values) {
  const std::size_t rank = static_cast<std::size_t>(
      kSizeQuantile * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(),
                   values.begin() + static_cast<std::ptrdiff_t>(rank),
                   values.end());
  return values[rank];
}

}  // namespace

void RuntimeEstimator::Observe(const TeamName& team,
                               const QueueName& queue,
                               const Resources& usage,
                               Duration run_time) {
  if (!usage.IsValid() || run_time < Duration::zero()) {
    return;  // a worker's usage report is outside input
  }
  const Key key(team, queue);
  if (this->pairs.size() >= kMaximumPairs && !this->pairs.contains(key)) {
    this->EvictOldest();
  }
  Pair& pair = this->pairs[key];
  const Sample sample{usage.cores, usage.memory_gb,
                      std::chrono::duration<double>(run_time).count()};
  if (pair.samples.size() < kWindow) {
    pair.samples.push_back(sample);
  } else {
    pair.samples[pair.oldest] = sample;
    pair.oldest = (pair.oldest + 1) % kWindow;
  }
  pair.last_observed = ++this->observations;
  std::vector<double> cores;
  std::vector<double> memory;
  double seconds = 0.0;
  for (const Sample& seen : pair.samples) {
    cores.push_back(seen.cores);
    memory.push_back(seen.memory_gb);
    seconds += seen.seconds;
  }
  pair.cores = Quantile(std::move(cores));
  pair.memory_gb = Quantile(std::move(memory));
  pair.seconds = seconds / static_cast<double>(pair.samples.size());
}

Resources RuntimeEstimator::Size(const TeamName& team,
                                 const QueueName& queue,
                                 const Resources& declared) const {
  const Pair* pair = this->Find(team, queue);
  if (pair == nullptr) {
    return declared;
  }
  Resources size = declared;
  size.cores = pair->cores;
  size.memory_gb = pair->memory_gb;
  return size;
}

Duration RuntimeEstimator::RunTime(const TeamName& team,
                                   const QueueName& queue,
                                   Duration fallback) const {
  const Pair* pair = this->Find(team, queue);
  if (pair == nullptr) {
    return fallback;
  }
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(pair->seconds));
}

const RuntimeEstimator::Pair* RuntimeEstimator::Find(
    const TeamName& team,
    const QueueName& queue) const {
  const std::map<Key, Pair>::const_iterator it =
      this->pairs.find(Key(team, queue));
  if (it == this->pairs.end() || it->second.samples.size() < kMinimumSamples) {
    return nullptr;
  }
  return &it->second;
}

void RuntimeEstimator::EvictOldest() {
  this->pairs.erase(std::min_element(this->pairs.begin(), this->pairs.end(),
                                     [](const std::pair<const Key, Pair>& a,
                                        const std::pair<const Key, Pair>& b) {
                                       return a.second.last_observed <
                                              b.second.last_observed;
                                     }));
}

}  // namespace daisyroad
