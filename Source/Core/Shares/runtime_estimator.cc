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
    return;  // usage reports of workers are untrusted input
  }
  const Key key(team, queue);
  if (this->histories.size() >= kMaximumQueues &&
      !this->histories.contains(key)) {
    this->EvictOldest();
  }
  QueueHistory& history = this->histories[key];
  const Sample sample{usage.cores, usage.memory_gb,
                      std::chrono::duration<double>(run_time).count()};
  if (history.samples.size() < kWindowSize) {
    history.samples.push_back(sample);
  } else {
    history.samples[history.oldest_sample] = sample;
    history.oldest_sample = (history.oldest_sample + 1) % kWindowSize;
  }
  history.last_observed = ++this->observation_count;
  std::vector<double> cores;
  std::vector<double> memory;
  double total_seconds = 0.0;
  for (const Sample& past_sample : history.samples) {
    cores.push_back(past_sample.cores);
    memory.push_back(past_sample.memory_gb);
    total_seconds += past_sample.seconds;
  }
  history.cores_quantile = Quantile(std::move(cores));
  history.memory_gb_quantile = Quantile(std::move(memory));
  history.mean_seconds =
      total_seconds / static_cast<double>(history.samples.size());
}

Resources RuntimeEstimator::Size(const TeamName& team,
                                 const QueueName& queue,
                                 const Resources& declared) const {
  const QueueHistory* history = this->Find(team, queue);
  if (history == nullptr) {
    return declared;
  }
  Resources size = declared;
  size.cores = history->cores_quantile;
  size.memory_gb = history->memory_gb_quantile;
  return size;
}

Duration RuntimeEstimator::RunTime(const TeamName& team,
                                   const QueueName& queue,
                                   Duration fallback) const {
  const QueueHistory* history = this->Find(team, queue);
  if (history == nullptr) {
    return fallback;
  }
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(history->mean_seconds));
}

const RuntimeEstimator::QueueHistory* RuntimeEstimator::Find(
    const TeamName& team,
    const QueueName& queue) const {
  const std::map<Key, QueueHistory>::const_iterator it =
      this->histories.find(Key(team, queue));
  if (it == this->histories.end() ||
      it->second.samples.size() < kMinimumSamples) {
    return nullptr;
  }
  return &it->second;
}

void RuntimeEstimator::EvictOldest() {
  this->histories.erase(
      std::min_element(this->histories.begin(), this->histories.end(),
                       [](const std::pair<const Key, QueueHistory>& a,
                          const std::pair<const Key, QueueHistory>& b) {
                         return a.second.last_observed < b.second.last_observed;
                       }));
}

}  // namespace daisyroad
