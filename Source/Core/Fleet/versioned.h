#ifndef SOURCE_CORE_FLEET_VERSIONED_H_
#define SOURCE_CORE_FLEET_VERSIONED_H_

#include <cstdint>

namespace daisyroad {

// A record and the store version at which it was read. The version of a key
// only increases; 0 means that the key does not exist.
template <typename T>
struct Versioned {
  T value;
  std::int64_t version = 0;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_FLEET_VERSIONED_H_
