#ifndef SOURCE_BENCH_BENCH_REGISTRY_H_
#define SOURCE_BENCH_BENCH_REGISTRY_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "Bench/bench_result.h"

namespace daisyroad {

using BenchFunction =
    std::function<std::vector<BenchResult>(std::uint64_t seed)>;

struct BenchCase {
  std::string name;
  BenchFunction run;
};

// Returns all registered cases, sorted by name.
std::vector<BenchCase> RegisteredBenches();

// Registers a case at static initialization:
//   const BenchRegistration kShares("shares", RunSharesBench);
class BenchRegistration {
 public:
  BenchRegistration(const std::string& name, BenchFunction run);
};

}  // namespace daisyroad

#endif  // SOURCE_BENCH_BENCH_REGISTRY_H_
