#include "StandIns/Store/store_state.h"

namespace daisyroad {

std::optional<StoreEntry> StoreState::Get(const std::string& key) const {
  const auto found = this->entries.find(key);
  if (found == this->entries.end()) {
    return std::nullopt;
  }
  return found->second;
}

std::vector<StoreEntry> StoreState::List(const std::string& prefix) const {
  std::vector<StoreEntry> found;
  for (auto entry = this->entries.lower_bound(prefix);
       entry != this->entries.end() && entry->first.rfind(prefix, 0) == 0;
       ++entry) {
    found.push_back(entry->second);
  }
  return found;
}

bool StoreState::Put(const std::string& key,
                     const std::string& value,
                     std::optional<std::uint64_t> expected) {
  const auto found = this->entries.find(key);
  const std::uint64_t version =
      found == this->entries.end() ? 0 : found->second.version;
  if (expected && *expected != version) {
    return false;
  }
  this->entries[key] = StoreEntry{key, value, ++this->last_version};
  return true;
}

bool StoreState::Delete(const std::string& key,
                        std::optional<std::uint64_t> expected) {
  const auto found = this->entries.find(key);
  if (found == this->entries.end()) {
    return !expected || *expected == 0;
  }
  if (expected && *expected != found->second.version) {
    return false;
  }
  this->entries.erase(found);
  this->deletions[key] = ++this->last_version;
  return true;
}

std::uint64_t StoreState::LastChangeVersion(const std::string& key) const {
  const auto found = this->entries.find(key);
  if (found != this->entries.end()) {
    return found->second.version;
  }
  const auto deleted = this->deletions.find(key);
  return deleted == this->deletions.end() ? 0 : deleted->second;
}

}  // namespace daisyroad
