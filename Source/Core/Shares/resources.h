#ifndef SOURCE_CORE_SHARES_RESOURCES_H_
#define SOURCE_CORE_SHARES_RESOURCES_H_

namespace daisyroad {
// Apart from the Resources of Core/Jobs, which are linked into the same
// program.
inline namespace cell {

// Amounts that a task requires or a worker provides.
struct Resources {
  double cores = 0.0;
  double memory_gb = 0.0;
  double accelerators = 0.0;
  double slots = 0.0;

  bool FitsIn(const Resources& available) const;
  // The largest of the fractions of `total` over all resources. Resources of
  // which `total` is zero are ignored.
  double DominantShare(const Resources& total) const;
  bool IsValid() const;  // finite and not negative
};

Resources operator+(const Resources& a, const Resources& b);
Resources operator-(const Resources& a, const Resources& b);

}  // namespace cell
}  // namespace daisyroad

#endif  // SOURCE_CORE_SHARES_RESOURCES_H_
