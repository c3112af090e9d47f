#include "Core/Common/random.h"

namespace daisyroad {

Random::Random(std::uint64_t seed) : engine(seed) {}

std::uint64_t Random::Below(std::uint64_t bound) {
  return std::uniform_int_distribution<std::uint64_t>(0,
                                                      bound - 1)(this->engine);
}

double Random::Fraction() {
  return std::uniform_real_distribution<double>(0.0, 1.0)(this->engine);
}

bool Random::Chance(double probability) {
  return this->Fraction() < probability;
}

Duration Random::Exponential(Duration mean) {
  const double factor =
      std::exponential_distribution<double>(1.0)(this->engine);
  return Duration(
      static_cast<Duration::rep>(static_cast<double>(mean.count()) * factor));
}

Duration Random::DurationBelow(Duration bound) {
  if (bound.count() <= 0) {
    return Duration::zero();
  }
  return Duration(static_cast<Duration::rep>(
      this->Below(static_cast<std::uint64_t>(bound.count()))));
}

std::string Random::Hex(std::size_t bytes) {
  static constexpr char kHexDigits[] = "0123456789abcdef";
  std::string text;
  text.reserve(bytes * 2);
  for (std::size_t i = 0; i < bytes * 2; ++i) {
    text.push_back(kHexDigits[this->Below(16)]);
  }
  return text;
}

}  // namespace daisyroad
