#include "Core/Common/metrics_registry.h"

namespace daisyroad {

MetricsRegistry::Value& MetricsRegistry::Counter(const std::string& name,
                                                 const std::string& labels) {
  return this->Series(name, labels, "counter");
}

MetricsRegistry::Value& MetricsRegistry::Gauge(const std::string& name,
                                               const std::string& labels) {
  return this->Series(name, labels, "gauge");
}

std::string MetricsRegistry::Render() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  std::string text;
  for (const std::pair<const std::string, Family>& family : this->families) {
    text += "# TYPE " + family.first + " " + family.second.type + "\n";
    for (const std::pair<const std::string, std::unique_ptr<Value>>& series :
         family.second.series) {
      text += family.first;
      if (!series.first.empty()) {
        text += "{" + series.first + "}";
      }
      text += " " + std::to_string(series.second->load()) + "\n";
    }
  }
  return text;
}

MetricsRegistry::Value& MetricsRegistry::Series(const std::string& name,
                                                const std::string& labels,
                                                const char* type) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  Family& family = this->families[name];
  family.type = type;
  std::unique_ptr<Value>& series = family.series[labels];
  if (!series) {
    series = std::make_unique<Value>(0);
  }
  return *series;
}

}  // namespace daisyroad
