#ifndef SOURCE_CORE_COMMON_METRICS_REGISTRY_H_
#define SOURCE_CORE_COMMON_METRICS_REGISTRY_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace daisyroad {

// Counters and gauges by name and labels. Thread-safe. Returned references stay
// valid for the lifetime of the registry.
class MetricsRegistry {
 public:
  using Value = std::atomic<std::int64_t>;

  // `labels` is empty or in Prometheus form, for example team="izarra".
  Value& Counter(const std::string& name, const std::string& labels = "");
  Value& Gauge(const std::string& name, const std::string& labels = "");

  // Renders the Prometheus text exposition format 0.0.4.
  std::string Render() const;

 private:
  struct Family {
    const char* type = "counter";
    std::map<std::string, std::unique_ptr<Value>> series;
  };

  Value& Series(const std::string& name,
                const std::string& labels,
                const char* type);

  mutable std::mutex mutex;
  std::map<std::string, Family> families;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_COMMON_METRICS_REGISTRY_H_
