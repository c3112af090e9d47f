#include "Core/Jobs/index_ranges.h"

#include <algorithm>
#include <iterator>

namespace daisyroad {
namespace {

std::int64_t Length(int first, int last) {
  return std::int64_t{last} - first + 1;
}

}  // namespace

void IndexRanges::Add(int first, int last) {
  std::map<int, int>::iterator range = this->lasts.upper_bound(first);
  if (range != this->lasts.begin() && std::prev(range)->second >= first - 1) {
    --range;
  }
  // Merges the ranges that the new one overlaps or touches.
  while (range != this->lasts.end() && range->first <= last + 1) {
    first = std::min(first, range->first);
    last = std::max(last, range->second);
    this->count -= Length(range->first, range->second);
    range = this->lasts.erase(range);
  }
  this->lasts.emplace(first, last);
  this->count += Length(first, last);
}

bool IndexRanges::Contains(int index) const {
  return this->FirstMissing(index) != index;
}

int IndexRanges::FirstMissing(int from) const {
  const std::map<int, int>::const_iterator next = this->lasts.upper_bound(from);
  if (next == this->lasts.begin() || std::prev(next)->second < from) {
    return from;
  }
  return std::prev(next)->second + 1;
}

std::int64_t IndexRanges::CountWithin(int first, int last) const {
  std::int64_t within = 0;
  std::map<int, int>::const_iterator range = this->lasts.upper_bound(first);
  if (range != this->lasts.begin()) {
    --range;
  }
  for (; range != this->lasts.end() && range->first <= last; ++range) {
    within += std::max<std::int64_t>(
        Length(std::max(first, range->first), std::min(last, range->second)),
        0);
  }
  return within;
}

}  // namespace daisyroad
