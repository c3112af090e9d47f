#include "Core/Shares/resources.h"

#include <algorithm>
#include <cmath>

namespace daisyroad {
namespace {

// Absorbs the rounding errors of repeated additions and subtractions.
constexpr double kTolerance = 1e-9;

double Fraction(double part, double whole) {
  return whole > 0.0 ? part / whole : 0.0;
}

bool IsAmount(double value) {
  return std::isfinite(value) && value >= 0.0;
}

}  // namespace

inline namespace cell {

bool Resources::FitsIn(const Resources& available) const {
  return this->cores <= available.cores + kTolerance &&
         this->memory_gb <= available.memory_gb + kTolerance &&
         this->accelerators <= available.accelerators + kTolerance &&
         this->slots <= available.slots + kTolerance;
}

double Resources::DominantShare(const Resources& total) const {
  return std::max({Fraction(this->cores, total.cores),
                   Fraction(this->memory_gb, total.memory_gb),
                   Fraction(this->accelerators, total.accelerators),
                   Fraction(this->slots, total.slots)});
}

bool Resources::IsValid() const {
  return IsAmount(this->cores) && IsAmount(this->memory_gb) &&
         IsAmount(this->accelerators) && IsAmount(this->slots);
}

Resources operator+(const Resources& a, const Resources& b) {
  return {a.cores + b.cores, a.memory_gb + b.memory_gb,
          a.accelerators + b.accelerators, a.slots + b.slots};
}

Resources operator-(const Resources& a, const Resources& b) {
  return {a.cores - b.cores, a.memory_gb - b.memory_gb,
          a.accelerators - b.accelerators, a.slots - b.slots};
}

}  // namespace cell

}  // namespace daisyroad
