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

// Reads the fleet records and writes them with compare-and-swap. Every record
// read is applied to FleetRecords.
class FleetStore {
 public:
  using Clock = std::function<MonotonicTime()>;
  using ReadCallback = std::function<void(const Status&)>;
  // True if the record was written, false if another writer was first. kTimeout
  // if the outcome is unknown. kCancelled if the write was dropped because
  // `not_after` had passed; it was certainly not written.
  using WriteCallback = std::function<void(const Result<bool>&)>;
  // Returns true if a record read after a lost answer contains the write.
  using AppliedPredicate = std::function<bool(const StoreEntry&)>;

  struct Write {
    std::string key;
    std::string value;
    std::uint64_t expected = 0;
    MonotonicTime not_after = MonotonicTime::max();
    AppliedPredicate is_applied;
  };

  FleetStore(StoreClient* client, FleetRecords* fleet_records, Clock time);

  // Lists both prefixes and reads the pause record.
  void ReadAll(ReadCallback callback);
  void ReadOne(const std::string& key, ReadCallback callback);
  void Put(const Write& write, const WriteCallback& callback);

 private:
  // The answer to a write can be lost. Retrying is safe because each attempt is
  // a compare-and-swap on the same version.
  static constexpr int kMaxAttempts = 3;

  void ReadList(const std::string& prefix,
                std::function<void(const Status&)> callback);
  void TryWrite(const Write& write,
                int attempts_left,
                const WriteCallback& callback);
  void ReadBack(const Write& write,
                int attempts_left,
                const WriteCallback& callback);
  void ApplyEntry(const StoreEntry& entry);

  StoreClient* store;
  FleetRecords* records;
  Clock now;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_ENTRY_FLEET_STORE_H_
