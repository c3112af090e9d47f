#ifndef SOURCE_STANDINS_STORE_STORE_STATE_H_
#define SOURCE_STANDINS_STORE_STORE_STATE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Core/Platform/store_entry.h"

namespace daisyroad {

// Key-value entries of the stand-in store. All keys share one version counter,
// as in Consul.
class StoreState {
 public:
  std::optional<StoreEntry> Get(const std::string& key) const;
  std::vector<StoreEntry> List(const std::string& prefix) const;
  // Writes only if the version of the key is `expected`, where 0 stands for an
  // absent key. Without `expected` the write is unconditional.
  bool Put(const std::string& key,
           const std::string& value,
           std::optional<std::uint64_t> expected);
  bool Delete(const std::string& key, std::optional<std::uint64_t> expected);
  // Returns the version of the last change of the key, which may be a deletion,
  // or 0 if it never existed.
  std::uint64_t LastChangeVersion(const std::string& key) const;

 private:
  std::map<std::string, StoreEntry> entries;
  std::map<std::string, std::uint64_t> deletions;
  std::uint64_t last_version = 0;
};

}  // namespace daisyroad

#endif  // SOURCE_STANDINS_STORE_STORE_STATE_H_
