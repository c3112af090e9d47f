#ifndef SOURCE_CORE_ENTRY_FLEET_STORE_H_
#define SOURCE_CORE_ENTRY_FLEET_STORE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "Core/Common/result.h"
#include "Core/Common/time.h"
#include "Core/Platform/store_entry.h"

namespace daisyroad {

class FleetRecords;
class StoreClient;

// Reads the fleet records and writes them by compare-and-swap. Every record
// that it reads goes to FleetRecords.
class FleetStore {
 public:
  using Clock = std::function<MonotonicTime()>;
  using ReadCallback = std::function<void(const Status&)>;
  // True: written. False: another writer won. kTimeout: not known.
  // kCancelled: dropped because `not_after` had passed; certainly not written.
  using WriteCallback = std::function<void(const Result<bool>&)>;
  // Whether a record read after a lost answer holds the write.
  using Judge = std::function<bool(const StoreEntry&)>;

  struct Write {
    std::string key;
    std::string value;
    std::uint64_t expected = 0;
    MonotonicTime not_after = MonotonicTime::max();
    Judge is_applied;
  };

  FleetStore(StoreClient* client, FleetRecords* fleet_records, Clock time);

  // One list of each prefix and the pause record.
  void ReadAll(ReadCallback callback);
  void ReadOne(const std::string& key, ReadCallback callback);
  void Put(const Write& write, const WriteCallback& callback);

 private:
  // The answer of a write can be lost, and repeating it is safe because it is
  // a compare-and-swap of the same version.
  static constexpr int kAttempts = 3;

  void ReadList(const std::string& prefix,
                std::function<void(const Status&)> callback);
  void Attempt(const Write& write, int left, const WriteCallback& callback);
  void ReadBack(const Write& write, int left, const WriteCallback& callback);
  void Take(const StoreEntry& entry);

  StoreClient* store;
  FleetRecords* records;
  Clock now;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_ENTRY_FLEET_STORE_H_
