#ifndef SOURCE_CORE_JOBS_INDEX_RANGES_H_
#define SOURCE_CORE_JOBS_INDEX_RANGES_H_

#include <cstdint>
#include <map>

namespace daisyroad {

// A set of indexes from 0 to kMaxIndex that needs room for its gaps only.
class IndexRanges {
 public:
  static constexpr int kMaxIndex = 2'147'483'646;

  // Adds the indexes from `first` to `last`.
  void Add(int first, int last);
  bool Contains(int index) const;
  // The least index from `from` on that is not in the set; may be
  // kMaxIndex + 1.
  int FirstMissing(int from) const;
  // How many of the indexes from `first` to `last` are in the set.
  std::int64_t CountWithin(int first, int last) const;
  std::int64_t size() const { return this->count; }
  bool empty() const { return this->count == 0; }
  // The last index of each range by the first one.
  const std::map<int, int>& ranges() const { return this->lasts; }

  friend bool operator==(const IndexRanges&, const IndexRanges&) = default;

 private:
  std::map<int, int> lasts;
  std::int64_t count = 0;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_JOBS_INDEX_RANGES_H_
