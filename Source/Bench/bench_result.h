#ifndef SOURCE_BENCH_BENCH_RESULT_H_
#define SOURCE_BENCH_BENCH_RESULT_H_

#include <cstdint>
#include <string>

namespace daisyroad {

// One measure, which daisyroad-bench prints as one JSON object.
struct BenchResult {
  std::string name;  // for example "shares.cost.enqueue"
  std::uint64_t seed = 0;
  bool ok = false;        // whether the target is met
  double baseline = 0.0;  // the best baseline in the same run
  double measured = 0.0;
  std::string unit;
  std::string detail;  // further figures, not meant for parsing
};

}  // namespace daisyroad

#endif  // SOURCE_BENCH_BENCH_RESULT_H_
