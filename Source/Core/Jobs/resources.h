#ifndef SOURCE_CORE_JOBS_RESOURCES_H_
#define SOURCE_CORE_JOBS_RESOURCES_H_

#include <algorithm>
#include <cstdint>

namespace daisyroad {

// Resources that a task requests, a worker offers or a team may use.
struct Resources {
  std::int64_t cpu_millicores = 0;
  std::int64_t memory_mb = 0;
  std::int64_t accelerators = 0;

  Resources& operator+=(const Resources& other) {
    this->cpu_millicores += other.cpu_millicores;
    this->memory_mb += other.memory_mb;
    this->accelerators += other.accelerators;
    return *this;
  }
  Resources& operator-=(const Resources& other) {
    this->cpu_millicores -= other.cpu_millicores;
    this->memory_mb -= other.memory_mb;
    this->accelerators -= other.accelerators;
    return *this;
  }
  friend Resources operator+(Resources left, const Resources& right) {
    return left += right;
  }
  friend Resources operator-(Resources left, const Resources& right) {
    return left -= right;
  }
  friend bool operator==(const Resources&, const Resources&) = default;

  bool FitsIn(const Resources& room) const {
    return this->cpu_millicores <= room.cpu_millicores &&
           this->memory_mb <= room.memory_mb &&
           this->accelerators <= room.accelerators;
  }
};

// The lesser of each resource.
inline Resources Lesser(const Resources& left, const Resources& right) {
  return Resources{std::min(left.cpu_millicores, right.cpu_millicores),
                   std::min(left.memory_mb, right.memory_mb),
                   std::min(left.accelerators, right.accelerators)};
}

// What `taken` leaves of `whole`, nothing of a resource of which it is more.
inline Resources Remainder(const Resources& whole, const Resources& taken) {
  const Resources rest = whole - taken;
  return Resources{std::max<std::int64_t>(rest.cpu_millicores, 0),
                   std::max<std::int64_t>(rest.memory_mb, 0),
                   std::max<std::int64_t>(rest.accelerators, 0)};
}

// Whether `request` fits in `limit` beside `used`. A resource of which nothing
// is requested does not count: its use may exceed a lowered limit.
inline bool FitsBeside(const Resources& request,
                       const Resources& used,
                       const Resources& limit) {
  const Resources sum = used + request;
  return (request.cpu_millicores == 0 ||
          sum.cpu_millicores <= limit.cpu_millicores) &&
         (request.memory_mb == 0 || sum.memory_mb <= limit.memory_mb) &&
         (request.accelerators == 0 || sum.accelerators <= limit.accelerators);
}

}  // namespace daisyroad

#endif  // SOURCE_CORE_JOBS_RESOURCES_H_
