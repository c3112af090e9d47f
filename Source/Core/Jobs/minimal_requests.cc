#include "Core/Jobs/minimal_requests.h"

#include <algorithm>

namespace daisyroad {

void MinimalRequests::Add(const Resources& request) {
  if (this->AnyWithin(request)) {
    return;
  }
  std::erase_if(this->requests, [&request](const Resources& other) {
    return request.FitsIn(other);
  });
  this->requests.push_back(request);
}

std::optional<Resources> MinimalRequests::FindWithin(
    const Resources& bound) const {
  const std::vector<Resources>::const_iterator found = std::find_if(
      this->requests.begin(), this->requests.end(),
      [&bound](const Resources& request) { return request.FitsIn(bound); });
  return found == this->requests.end() ? std::nullopt : std::optional(*found);
}

}  // namespace daisyroad
