#ifndef SOURCE_CORE_PLATFORM_REVISION_STORE_H_
#define SOURCE_CORE_PLATFORM_REVISION_STORE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "Core/Common/result.h"
#include "Core/Common/time.h"

namespace daisyroad {

using StoreLease = std::int64_t;  // 0: none

struct StoreItem {
  std::string key;
  std::string value;
  std::int64_t revision = 0;  // revision of the last change
};

struct StorePage {
  std::vector<StoreItem> items;  // in order of key
  bool has_more = false;
  std::int64_t store_revision = 0;
};

struct StoreChange {
  std::string key;
  std::int64_t revision = 0;
  std::optional<std::string> value;  // empty if the key was deleted
};

// Changes after a revision. `is_history_lost` means that the store no longer
// has these changes, so the prefix must be listed again.
struct StoreChanges {
  std::vector<StoreChange> changes;
  std::int64_t store_revision = 0;
  bool is_history_lost = false;
};

struct KeyRevision {
  std::string key;
  std::int64_t revision = 0;  // 0: the key does not exist
};

struct StoreWrite {
  std::string key;
  std::string value;
  StoreLease lease = 0;
};

// Changes that are applied atomically if all `expected` revisions match. The
// three lists may have at most kMostTransactionEntries entries in total.
struct StoreTransaction {
  std::vector<KeyRevision> expected;
  std::vector<StoreWrite> writes;
  std::vector<std::string> deletions;
};

inline constexpr std::size_t kMostTransactionEntries = 32;

// A watch fails with kTimeout if its answer does not begin to arrive within its
// wait time and this grace period.
inline constexpr Milliseconds kWatchGrace{500};

struct TransactionCommitted {
  std::int64_t revision = 0;
};
// The current items of the `expected` keys; keys that do not exist are omitted.
struct TransactionConflict {
  std::vector<StoreItem> items;
};
using TransactionResult =
    std::variant<TransactionCommitted, TransactionConflict>;

// Key-value store with one revision counter, transactions, watches and leases.
//
// Errors: kUnavailable and kResourceExhausted mean that nothing was changed,
// and kNotFound that the lease has ended. After any other error the change may
// have been applied or may still be applied later. List, Watch and Commit,
// whose answers may be large, fail with kTimeout if no part of the answer
// arrives for `timeout`; Get and the calls for leases fail if they take longer
// altogether.
class RevisionStore {
 public:
  template <typename T>
  using Callback = std::function<void(Result<T>)>;

  virtual ~RevisionStore() = default;

  // Linearizable read; returns nothing if the key does not exist.
  virtual void Get(const std::string& key,
                   Milliseconds timeout,
                   Callback<std::optional<StoreItem>> callback) = 0;
  // Returns a page of the keys with `prefix`, starting after the key `after`
  // unless that is empty. Pages do not belong to one snapshot.
  virtual void List(const std::string& prefix,
                    const std::string& after,
                    Milliseconds timeout,
                    Callback<StorePage> callback) = 0;
  // Completes when there is a change after `revision`, or after `wait`.
  virtual void Watch(const std::string& prefix,
                     std::int64_t revision,
                     Milliseconds wait,
                     Callback<StoreChanges> callback) = 0;
  virtual void Commit(const StoreTransaction& transaction,
                      Milliseconds timeout,
                      Callback<TransactionResult> callback) = 0;
  virtual void GrantLease(Milliseconds duration,
                          Milliseconds timeout,
                          Callback<StoreLease> callback) = 0;
  virtual void KeepLease(StoreLease lease,
                         Milliseconds timeout,
                         Callback<std::monostate> callback) = 0;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_PLATFORM_REVISION_STORE_H_
