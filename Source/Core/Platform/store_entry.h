#ifndef SOURCE_CORE_PLATFORM_STORE_ENTRY_H_
#define SOURCE_CORE_PLATFORM_STORE_ENTRY_H_

#include <cstdint>
#include <string>

namespace daisyroad {

// A key of the platform's store with its value and version.
struct StoreEntry {
  std::string key;
  std::string value;
  std::uint64_t version = 0;  // changes with every write; never 0
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_PLATFORM_STORE_ENTRY_H_
