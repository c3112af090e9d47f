#ifndef SOURCE_UNITTESTS_ENTRY_FLEET_FAKE_STORE_H_
#define SOURCE_UNITTESTS_ENTRY_FLEET_FAKE_STORE_H_

#include <map>
#include <string>
#include <vector>

#include "Core/Platform/store_client.h"

namespace daisyroad {

// In-memory store that answers synchronously and can drop answers.
class FleetFakeStore : public StoreClient {
 public:
  std::map<std::string, StoreEntry> entries;
  bool lose_answers = false;  // of writes that have taken effect
  int applied_writes = 0;     // writes that took effect
  int list_calls = 0;

  void Put(const std::string& key, const std::string& value) {
    this->entries[key] = StoreEntry{key, value, ++this->revision};
  }

  void Get(const std::string& key, EntryCallback callback) override {
    const auto found = this->entries.find(key);
    callback(found == this->entries.end()
                 ? std::optional<StoreEntry>()
                 : std::optional<StoreEntry>(found->second));
  }

  void List(const std::string& prefix, ListCallback callback) override {
    ++this->list_calls;
    std::vector<StoreEntry> list;
    for (const std::pair<const std::string, StoreEntry>& entry :
         this->entries) {
      if (entry.first.rfind(prefix, 0) == 0) {
        list.push_back(entry.second);
      }
    }
    callback(list);
  }

  void CompareAndSwap(const std::string& key,
                      const std::string& value,
                      std::uint64_t expected,
                      WriteCallback callback) override {
    const auto found = this->entries.find(key);
    const bool matches =
        (found == this->entries.end() ? 0 : found->second.version) == expected;
    if (matches) {
      ++this->applied_writes;
      this->Put(key, value);
    }
    if (this->lose_answers) {
      callback(Error{Errc::kTimeout, "store.cas", "", "lost"});
    } else {
      callback(matches);
    }
  }

  void CompareAndDelete(const std::string&,
                        std::uint64_t,
                        WriteCallback callback) override {
    callback(false);
  }
  void Watch(const std::string& key,
             std::uint64_t,
             Milliseconds,
             EntryCallback callback) override {
    this->Get(key, std::move(callback));
  }

 private:
  std::uint64_t revision = 0;
};

}  // namespace daisyroad

#endif  // SOURCE_UNITTESTS_ENTRY_FLEET_FAKE_STORE_H_
