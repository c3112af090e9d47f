#ifndef SOURCE_UNITTESTS_SCHEDULE_SCHEDULE_RUNNER_H_
#define SOURCE_UNITTESTS_SCHEDULE_SCHEDULE_RUNNER_H_

#include <cstdint>
#include <cstdlib>
#include <functional>
#include <optional>
#include <string>

namespace daisyroad {

// Runs a schedule for each seed and stops at the first that fails. The
// environment chooses the seeds:
//   DAISYROAD_SEEDS       number of seeds (default: `default_seeds`)
//   DAISYROAD_FIRST_SEED  first seed (default 1)
class ScheduleRunner {
 public:
  // Returns the failure, or nothing if every invariant held.
  using Schedule = std::function<std::string(std::uint64_t seed)>;

  explicit ScheduleRunner(std::uint64_t default_seeds)
      : seeds(Read("DAISYROAD_SEEDS", default_seeds)),
        first(Read("DAISYROAD_FIRST_SEED", 1)) {}

  // Empty, or the failing seed and what was seen.
  std::string Run(const Schedule& schedule) const {
    for (std::uint64_t i = 0; i < this->seeds; ++i) {
      const std::string failure = schedule(this->first + i);
      if (!failure.empty()) {
        return "seed " + std::to_string(this->first + i) + ": " + failure;
      }
    }
    return "";
  }

  std::uint64_t count() const { return this->seeds; }

 private:
  static std::uint64_t Read(const char* name, std::uint64_t otherwise) {
    const char* text = std::getenv(name);
    return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
  }

  std::uint64_t seeds;
  std::uint64_t first;
};

}  // namespace daisyroad

#endif  // SOURCE_UNITTESTS_SCHEDULE_SCHEDULE_RUNNER_H_
