#ifndef SOURCE_CORE_COMMON_RANDOM_H_
#define SOURCE_CORE_COMMON_RANDOM_H_

#include <cstdint>
#include <random>
#include <string>

#include "Core/Common/time.h"

namespace daisyroad {

// Seeded random number generator, injected so that the same seed reproduces the
// same decisions.
class Random {
 public:
  explicit Random(std::uint64_t seed);

  // Uniform in [0, bound); bound must be positive.
  std::uint64_t Below(std::uint64_t bound);
  // Uniform in [0, 1).
  double Fraction();
  bool Chance(double probability);
  // Exponentially distributed with the given mean.
  Duration Exponential(Duration mean);
  // Uniform in [0, bound).
  Duration DurationBelow(Duration bound);
  // Lower-case hexadecimal digits of `bytes` random bytes. Not for secrets.
  std::string Hex(std::size_t bytes);

 private:
  std::mt19937_64 engine;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_COMMON_RANDOM_H_
