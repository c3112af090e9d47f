#ifndef SOURCE_CORE_JOBS_MINIMAL_REQUESTS_H_
#define SOURCE_CORE_JOBS_MINIMAL_REQUESTS_H_

#include <optional>
#include <vector>

#include "Core/Jobs/resources.h"

namespace daisyroad {

// A set of resource requests that keeps only the minimal ones: those that need
// less than each other request of at least one resource.
class MinimalRequests {
 public:
  void Add(const Resources& request);
  void Clear() { this->requests.clear(); }
  bool empty() const { return this->requests.empty(); }

  // Returns a request that needs no more than `bound`, if there is one.
  std::optional<Resources> FindWithin(const Resources& bound) const;
  bool AnyWithin(const Resources& bound) const {
    return this->FindWithin(bound).has_value();
  }

 private:
  std::vector<Resources> requests;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_JOBS_MINIMAL_REQUESTS_H_
