#ifndef SOURCE_BENCH_BENCH_RESULT_H_
#define SOURCE_BENCH_BENCH_RESULT_H_

#include <cstdint>
#include <string>

namespace daisyroad {

// One measure, printed as one JSON object.
struct BenchResult {
  std::string name;  // case, for example "shares.deviation.izarra"
  std::uint64_t seed = 0;
  bool ok = false;        // the stated target is met
  double baseline = 0.0;  // the best simple rule in the same run
  double measured = 0.0;
  std::string unit;
  std::string detail;  // further figures, for people
};

}  // namespace daisyroad

#endif  // SOURCE_BENCH_BENCH_RESULT_H_
