#ifndef SOURCE_CORE_PLATFORM_PACED_STORE_H_
#define SOURCE_CORE_PLATFORM_PACED_STORE_H_

#include <memory>
#include <string>

#include "Core/Platform/revision_store.h"
#include "Core/Platform/store_pacer.h"

namespace daisyroad {

// A store whose calls go through the pacer of the instance. Lease calls are
// never held back; a transaction that changes nothing counts as a read. The
// time for which a caller's call was held back is taken from its timeout.
class PacedStore : public RevisionStore {
 public:
  // `reads` and `writes` are the classes of calls made through this object.
  // `store` must outlive it.
  PacedStore(std::shared_ptr<StorePacer> pacer,
             RevisionStore* store,
             StoreCallClass reads,
             StoreCallClass writes);

  void Get(const std::string& key,
           Milliseconds timeout,
           Callback<std::optional<StoreItem>> callback) override;
  void List(const std::string& prefix,
            const std::string& after,
            Milliseconds timeout,
            Callback<StorePage> callback) override;
  void Watch(const std::string& prefix,
             std::int64_t revision,
             Milliseconds wait,
             Callback<StoreChanges> callback) override;
  void Commit(const StoreTransaction& transaction,
              Milliseconds timeout,
              Callback<TransactionResult> callback) override;
  void GrantLease(Milliseconds duration,
                  Milliseconds timeout,
                  Callback<StoreLease> callback) override;
  void KeepLease(StoreLease lease,
                 Milliseconds timeout,
                 Callback<std::monostate> callback) override;

 private:
  std::shared_ptr<StorePacer> pacer;
  RevisionStore* store;
  StoreCallClass reads;
  StoreCallClass writes;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_PLATFORM_PACED_STORE_H_
