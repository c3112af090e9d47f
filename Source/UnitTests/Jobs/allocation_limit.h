#ifndef SOURCE_UNITTESTS_JOBS_ALLOCATION_LIMIT_H_
#define SOURCE_UNITTESTS_JOBS_ALLOCATION_LIMIT_H_

#include <cstddef>

namespace daisyroad {

// While it exists, an allocation with which the process would hold more than
// `bytes` beyond what it held before fails with std::bad_alloc; later ones
// succeed. One at a time.
class AllocationLimit {
 public:
  explicit AllocationLimit(std::size_t bytes);
  AllocationLimit(const AllocationLimit&) = delete;
  AllocationLimit& operator=(const AllocationLimit&) = delete;
  ~AllocationLimit();

  // Bytes that the process holds beyond what it held before.
  std::ptrdiff_t Held() const;

 private:
  std::ptrdiff_t before = 0;
};

}  // namespace daisyroad

#endif  // SOURCE_UNITTESTS_JOBS_ALLOCATION_LIMIT_H_
