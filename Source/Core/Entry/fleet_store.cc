#include "Core/Entry/fleet_store.h"

#include <utility>
#include <vector>

#include "Core/Common/logging.h"
#include "Core/Entry/fleet_records.h"
#include "Core/Platform/store_client.h"

namespace daisyroad {

FleetStore::FleetStore(StoreClient* client,
                       FleetRecords* fleet_records,
                       Clock time)
    : store(client), records(fleet_records), now(std::move(time)) {}

void FleetStore::ReadAll(ReadCallback callback) {
  this->ReadList(kInstancePrefix, [this, callback = std::move(callback)](
                                      const Status& instances) {
    if (!instances.ok()) {
      callback(instances);
      return;
    }
    this->ReadList(kBudgetPrefix, [this, callback](const Status& budgets) {
      if (!budgets.ok()) {
        callback(budgets);
        return;
      }
      this->ReadOne(kPauseKey, callback);
    });
  });
}

void FleetStore::ReadOne(const std::string& key, ReadCallback callback) {
  this->store->Get(key, [this, callback = std::move(callback)](
                            const Result<std::optional<StoreEntry>>& entry) {
    if (!entry.ok()) {
      callback(entry.error());
      return;
    }
    if (entry.value()) {
      this->Take(*entry.value());
    }
    callback(OkStatus());
  });
}

void FleetStore::ReadList(const std::string& prefix,
                          std::function<void(const Status&)> callback) {
  this->store->List(prefix, [this, callback = std::move(callback)](
                                const Result<std::vector<StoreEntry>>& list) {
    if (!list.ok()) {
      callback(list.error());
      return;
    }
    for (const StoreEntry& entry : list.value()) {
      this->Take(entry);
    }
    callback(OkStatus());
  });
}

void FleetStore::Put(const Write& write, const WriteCallback& callback) {
  this->Attempt(write, kAttempts, callback);
}

void FleetStore::Attempt(const Write& write,
                         int left,
                         const WriteCallback& callback) {
  // An earlier attempt without an answer may still take effect.
  if (this->now() > write.not_after) {
    callback(Error{left == kAttempts ? Errc::kCancelled : Errc::kTimeout,
                   "fleet.write", write.key, "the observation is too old"});
    return;
  }
  this->store->CompareAndSwap(
      write.key, write.value, write.expected,
      [this, write, left, callback](const Result<bool>& written) {
        if (!written.ok()) {
          this->ReadBack(write, left, callback);
          return;
        }
        // The store does not say the version of a write: it is read.
        this->ReadOne(write.key, [callback, written](const Status&) {
          callback(written);
        });
      });
}

void FleetStore::ReadBack(const Write& write,
                          int left,
                          const WriteCallback& callback) {
  this->store->Get(
      write.key, [this, write, left,
                  callback](const Result<std::optional<StoreEntry>>& entry) {
        if (!entry.ok()) {
          callback(Error{
              Errc::kTimeout, "fleet.write", write.key,
              "not known whether it was written: " + entry.error().ToString()});
          return;
        }
        const std::uint64_t version =
            entry.value() ? entry.value()->version : 0;
        if (entry.value()) {
          this->Take(*entry.value());
        }
        if (entry.value() && write.is_applied(*entry.value())) {
          callback(true);
        } else if (version != write.expected) {
          callback(false);
        } else if (left > 1) {
          this->Attempt(write, left - 1, callback);
        } else {
          callback(Error{Errc::kTimeout, "fleet.write", write.key,
                         "no answer to the write"});
        }
      });
}

void FleetStore::Take(const StoreEntry& entry) {
  const Status taken = this->records->Apply(entry);
  if (!taken.ok()) {
    CLOG(ERROR, kFleetLog) << taken.error().ToString();
  }
}

}  // namespace daisyroad
