#ifndef SOURCE_UNITTESTS_SCHEDULE_SCHEDULE_RUNNER_H_
#define SOURCE_UNITTESTS_SCHEDULE_SCHEDULE_RUNNER_H_

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <map>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

namespace daisyroad {

// Runs a random schedule of faults for each seed and stops at the first
// failure. Environment variables select the seeds:
//   DAISYROAD_SEEDS       number of seeds (default: `default_seeds`)
//   DAISYROAD_FIRST_SEED  first seed (default 1)
//   DAISYROAD_COUNT_FAILURES  1: goes on after a failure, and prints the number
//                             of failing seeds by kind of failure
class ScheduleRunner {
 public:
  // Returns a description of the failure, or an empty string if all invariants
  // held.
  using Schedule = std::function<std::string(std::uint64_t seed)>;

  explicit ScheduleRunner(std::uint64_t default_seeds)
      : seed_count(ReadEnvironment("DAISYROAD_SEEDS", default_seeds)),
        first_seed(ReadEnvironment("DAISYROAD_FIRST_SEED", 1)),
        counts_failures(ReadEnvironment("DAISYROAD_COUNT_FAILURES", 0) == 1) {}

  // Returns the first failing seed and its failure, or an empty string.
  std::string Run(const Schedule& schedule) const {
    std::string first_failure;
    std::map<std::string, std::vector<std::uint64_t>> kinds;
    for (std::uint64_t i = 0; i < this->seed_count; ++i) {
      const std::string failure = schedule(this->first_seed + i);
      if (failure.empty()) {
        continue;
      }
      if (first_failure.empty()) {
        first_failure =
            "seed " + std::to_string(this->first_seed + i) + ": " + failure;
      }
      if (!this->counts_failures) {
        break;
      }
      kinds[KindOf(failure)].push_back(this->first_seed + i);
    }
    if (this->counts_failures) {
      this->PrintKinds(kinds);
    }
    return first_failure;
  }

  std::uint64_t count() const { return this->seed_count; }

 private:
  static std::uint64_t ReadEnvironment(const char* name,
                                       std::uint64_t default_value) {
    const char* text = std::getenv(name);
    return text == nullptr ? default_value : std::strtoull(text, nullptr, 10);
  }

  // The failure without its names and numbers, all of which contain digits.
  static std::string KindOf(const std::string& failure) {
    std::istringstream words(failure);
    std::string kind;
    std::string word;
    while (words >> word) {
      const bool is_name =
          word.find_first_of("0123456789") != std::string::npos;
      kind += std::string(kind.empty() ? "" : " ") +
              (is_name ? std::string("*") : word);
    }
    return kind;
  }

  void PrintKinds(
      const std::map<std::string, std::vector<std::uint64_t>>& kinds) const {
    std::cout << "seeds " << this->first_seed << " to "
              << this->first_seed + this->seed_count - 1 << "\n";
    for (const std::pair<const std::string, std::vector<std::uint64_t>>& kind :
         kinds) {
      std::cout << kind.second.size() << " failed: " << kind.first << "; seeds";
      for (std::size_t i = 0; i < kind.second.size() && i < kSeedsPrinted;
           ++i) {
        std::cout << " " << kind.second[i];
      }
      std::cout << std::endl;
    }
  }

  static constexpr std::size_t kSeedsPrinted = 8;

  std::uint64_t seed_count;
  std::uint64_t first_seed;
  bool counts_failures;
};

}  // namespace daisyroad

#endif  // SOURCE_UNITTESTS_SCHEDULE_SCHEDULE_RUNNER_H_
