#include "Core/Platform/paced_store.h"

#include <optional>
#include <utility>

namespace daisyroad {
namespace {

// A call is held back for at most half of its timeout.
StorePacer::Call MakeCall(StoreCallClass call_class,
                          const std::string& kind,
                          const std::string& key,
                          Milliseconds timeout) {
  return StorePacer::Call{call_class, kind, key, timeout / 2};
}

// Time left for a call that was held back; none if a paused process sends it
// after its time.
std::optional<Milliseconds> TimeoutAfter(const StorePacer::Call& call,
                                         Milliseconds timeout,
                                         Milliseconds held) {
  if (call.call_class != StoreCallClass::kCaller) {
    return timeout;
  }
  return held < timeout ? std::make_optional(timeout - held) : std::nullopt;
}

Error HeldTooLong(const StorePacer::Call& call) {
  return Error{Errc::kTimeout, "store." + call.kind, "store",
               "the call was held back until its time was over"};
}

// The records of one term are written under the same expected key.
std::string KeyOf(const StoreTransaction& transaction) {
  if (!transaction.expected.empty()) {
    return transaction.expected.front().key;
  }
  if (!transaction.writes.empty()) {
    return transaction.writes.front().key;
  }
  return transaction.deletions.empty() ? "" : transaction.deletions.front();
}

template <typename T>
RevisionStore::Callback<T> Recorded(const std::shared_ptr<StorePacer>& pacer,
                                    const StorePacer::Call& call,
                                    RevisionStore::Callback<T> callback) {
  return [pacer, call, callback = std::move(callback)](Result<T> result) {
    pacer->Record(call, result.ok() ? nullptr : &result.error());
    callback(std::move(result));
  };
}

}  // namespace

PacedStore::PacedStore(std::shared_ptr<StorePacer> pacer,
                       RevisionStore* store,
                       StoreCallClass reads,
                       StoreCallClass writes)
    : pacer(std::move(pacer)), store(store), reads(reads), writes(writes) {}

void PacedStore::Get(const std::string& key,
                     Milliseconds timeout,
                     Callback<std::optional<StoreItem>> callback) {
  const StorePacer::Call call = MakeCall(this->reads, "get", key, timeout);
  this->pacer->Start(
      call, [store = this->store, key, timeout, call,
             recorded = Recorded(this->pacer, call, std::move(callback))](
                Milliseconds held) {
        const std::optional<Milliseconds> left =
            TimeoutAfter(call, timeout, held);
        if (left) {
          store->Get(key, *left, recorded);
        } else {
          recorded(HeldTooLong(call));
        }
      });
}

void PacedStore::List(const std::string& prefix,
                      const std::string& after,
                      Milliseconds timeout,
                      Callback<StorePage> callback) {
  const StorePacer::Call call = MakeCall(this->reads, "list", prefix, timeout);
  this->pacer->Start(
      call, [store = this->store, prefix, after, timeout, call,
             recorded = Recorded(this->pacer, call, std::move(callback))](
                Milliseconds held) {
        const std::optional<Milliseconds> left =
            TimeoutAfter(call, timeout, held);
        if (left) {
          store->List(prefix, after, *left, recorded);
        } else {
          recorded(HeldTooLong(call));
        }
      });
}

void PacedStore::Watch(const std::string& prefix,
                       std::int64_t revision,
                       Milliseconds wait,
                       Callback<StoreChanges> callback) {
  const StorePacer::Call call =
      MakeCall(this->reads, "watch", prefix, wait + kWatchGrace);
  this->pacer->Start(
      call,
      [store = this->store, prefix, revision, wait,
       recorded = Recorded(this->pacer, call, std::move(callback))](
          Milliseconds) { store->Watch(prefix, revision, wait, recorded); });
}

void PacedStore::Commit(const StoreTransaction& transaction,
                        Milliseconds timeout,
                        Callback<TransactionResult> callback) {
  const bool is_read =
      transaction.writes.empty() && transaction.deletions.empty();
  const StorePacer::Call call =
      MakeCall(is_read ? this->reads : this->writes,
               is_read ? "confirm" : "commit", KeyOf(transaction), timeout);
  this->pacer->Start(
      call, [store = this->store, transaction, timeout, call,
             recorded = Recorded(this->pacer, call, std::move(callback))](
                Milliseconds held) {
        const std::optional<Milliseconds> left =
            TimeoutAfter(call, timeout, held);
        if (left) {
          store->Commit(transaction, *left, recorded);
        } else {
          recorded(HeldTooLong(call));
        }
      });
}

void PacedStore::GrantLease(Milliseconds duration,
                            Milliseconds timeout,
                            Callback<StoreLease> callback) {
  this->store->GrantLease(
      duration, timeout,
      Recorded(this->pacer,
               MakeCall(StoreCallClass::kDuty, "grant_lease", "", timeout),
               std::move(callback)));
}

void PacedStore::KeepLease(StoreLease lease,
                           Milliseconds timeout,
                           Callback<std::monostate> callback) {
  this->store->KeepLease(
      lease, timeout,
      Recorded(this->pacer,
               MakeCall(StoreCallClass::kDuty, "keep_lease", "", timeout),
               std::move(callback)));
}

}  // namespace daisyroad
