#ifndef SOURCE_STANDINS_STORE_STORE_STATE_H_
#define SOURCE_STANDINS_STORE_STORE_STATE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Core/Platform/store_entry.h"

namespace daisyroad {

// Keys of the stand-in store. Versions come from one counter, as in Consul.
class StoreState {
 public:
  std::optional<StoreEntry> Get(const std::string& key) const;
  std::vector<StoreEntry> List(const std::string& prefix) const;
  // Without `expected` the write is unconditional; 0 stands for an absent key.
  bool Put(const std::string& key,
           const std::string& value,
           std::optional<std::uint64_t> expected);
  bool Delete(const std::string& key, std::optional<std::uint64_t> expected);
  // Counter at the last change of the key, deletions included; 0 if none.
  std::uint64_t ChangedAt(const std::string& key) const;

 private:
  std::map<std::string, StoreEntry> entries;
  std::map<std::string, std::uint64_t> deletions;
  std::uint64_t counter = 0;
};

}  // namespace daisyroad

#endif  // SOURCE_STANDINS_STORE_STORE_STATE_H_
