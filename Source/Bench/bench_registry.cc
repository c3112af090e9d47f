#include "Bench/bench_registry.h"

#include <map>
#include <utility>

namespace daisyroad {
namespace {

std::map<std::string, BenchFunction>& Cases() {
  static std::map<std::string, BenchFunction> cases;
  return cases;
}

}  // namespace

std::vector<BenchCase> RegisteredBenches() {
  std::vector<BenchCase> cases;
  for (const std::pair<const std::string, BenchFunction>& entry : Cases()) {
    cases.push_back(BenchCase{entry.first, entry.second});
  }
  return cases;
}

BenchRegistration::BenchRegistration(const std::string& name,
                                     BenchFunction run) {
  Cases()[name] = std::move(run);
}

}  // namespace daisyroad
