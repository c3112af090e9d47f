#ifndef SOURCE_UNITTESTS_SCHEDULE_SCHEDULE_RUNNER_H_
#define SOURCE_UNITTESTS_SCHEDULE_SCHEDULE_RUNNER_H_

#include <cstdint>
#include <cstdlib>
#include <functional>
#include <optional>
#include <string>

namespace daisyroad {

// Runs a random schedule of faults for each seed and stops at the first
// failure. Environment variables select the seeds:
//   DAISYROAD_SEEDS       number of seeds (default: `default_seeds`)
//   DAISYROAD_FIRST_SEED  first seed (default 1)
class ScheduleRunner {
 public:
  // Returns a description of the failure, or an empty string if all invariants
  // held.
  using Schedule = std::function<std::string(std::uint64_t seed)>;

  explicit ScheduleRunner(std::uint64_t default_seeds)
      : seed_count(ReadEnvironment("DAISYROAD_SEEDS", default_seeds)),
        first_seed(ReadEnvironment("DAISYROAD_FIRST_SEED", 1)) {}

  // Returns the failing seed and its failure, or an empty string.
  std::string Run(const Schedule& schedule) const {
    for (std::uint64_t i = 0; i < this->seed_count; ++i) {
      const std::string failure = schedule(this->first_seed + i);
      if (!failure.empty()) {
        return "seed " + std::to_string(this->first_seed + i) + ": " + failure;
      }
    }
    return "";
  }

  std::uint64_t count() const { return this->seed_count; }

 private:
  static std::uint64_t ReadEnvironment(const char* name,
                                       std::uint64_t default_value) {
    const char* text = std::getenv(name);
    return text == nullptr ? default_value : std::strtoull(text, nullptr, 10);
  }

  std::uint64_t seed_count;
  std::uint64_t first_seed;
};

}  // namespace daisyroad

#endif  // SOURCE_UNITTESTS_SCHEDULE_SCHEDULE_RUNNER_H_
