#include "Core/Jobs/index_ranges.h"

#include <catch2/catch.hpp>
#include <random>
#include <set>

namespace daisyroad {
namespace {

constexpr int kIndexes = 60;

int CountOf(const std::set<int>& model, int first, int last) {
  return static_cast<int>(
      std::distance(model.lower_bound(first), model.upper_bound(last)));
}

void CheckEqual(const IndexRanges& ranges, const std::set<int>& model) {
  REQUIRE(ranges.size() == static_cast<std::int64_t>(model.size()));
  int missing = kIndexes;
  for (int i = kIndexes - 1; i >= 0; --i) {
    missing = model.contains(i) ? missing : i;
    REQUIRE(ranges.Contains(i) == model.contains(i));
    REQUIRE(ranges.FirstMissing(i) == missing);
    REQUIRE(ranges.CountWithin(i, 40) == (i > 40 ? 0 : CountOf(model, i, 40)));
  }
  int last = -2;
  for (const std::pair<const int, int>& range : ranges.ranges()) {
    REQUIRE(range.first > last + 1);
    last = range.second;
  }
}

// Guards against a set of ranges that differs from a set of indexes.
TEST_CASE("Ranges hold the indexes that were added") {
  for (unsigned seed = 1; seed <= 200; ++seed) {
    std::mt19937 random(seed);
    IndexRanges ranges;
    std::set<int> model;
    for (int i = 0; i < 30; ++i) {
      const int first = static_cast<int>(random() % kIndexes);
      const int last =
          std::min(kIndexes - 1, first + static_cast<int>(random() % 6));
      ranges.Add(first, last);
      for (int index = first; index <= last; ++index) {
        model.insert(index);
      }
      CheckEqual(ranges, model);
    }
  }
}

TEST_CASE("Ranges reach to the largest index") {
  IndexRanges ranges;
  ranges.Add(0, IndexRanges::kMaxIndex);
  ranges.Add(IndexRanges::kMaxIndex, IndexRanges::kMaxIndex);
  CHECK(ranges.ranges().size() == 1);
  CHECK(ranges.size() == std::int64_t{IndexRanges::kMaxIndex} + 1);
  CHECK(ranges.FirstMissing(0) == IndexRanges::kMaxIndex + 1);
}

}  // namespace
}  // namespace daisyroad
