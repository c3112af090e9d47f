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
      this->ApplyEntry(*entry.value());
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
      this->ApplyEntry(entry);
    }
    callback(OkStatus());
  });
}

void FleetStore::Put(const Write& write, const WriteCallback& callback) {
  this->TryWrite(write, kMaxAttempts, callback);
}

void FleetStore::TryWrite(const Write& write,
                          int attempts_left,
                          const WriteCallback& callback) {
  // An earlier attempt without an answer may still take effect.
  if (this->now() > write.not_after) {
    callback(
        Error{attempts_left == kMaxAttempts ? Errc::kCancelled : Errc::kTimeout,
              "fleet.write", write.key, "the observation has expired"});
    return;
  }
  this->store->CompareAndSwap(
      write.key, write.value, write.expected,
      [this, write, attempts_left, callback](const Result<bool>& written) {
        if (!written.ok()) {
          this->ReadBack(write, attempts_left, callback);
          return;
        }
        // The store does not return the version of the write, so the record is
        // read back.
        this->ReadOne(write.key, [callback, written](const Status&) {
          callback(written);
        });
      });
}

void FleetStore::ReadBack(const Write& write,
                          int attempts_left,
                          const WriteCallback& callback) {
  this->store->Get(
      write.key, [this, write, attempts_left,
                  callback](const Result<std::optional<StoreEntry>>& entry) {
        if (!entry.ok()) {
          callback(Error{Errc::kTimeout, "fleet.write", write.key,
                         "unknown whether the record was written: " +
                             entry.error().ToString()});
          return;
        }
        const std::uint64_t version =
            entry.value() ? entry.value()->version : 0;
        if (entry.value()) {
          this->ApplyEntry(*entry.value());
        }
        if (entry.value() && write.is_applied(*entry.value())) {
          callback(true);
        } else if (version != write.expected) {
          callback(false);
        } else if (attempts_left > 1) {
          this->TryWrite(write, attempts_left - 1, callback);
        } else {
          callback(Error{Errc::kTimeout, "fleet.write", write.key,
                         "no answer to the write after the last attempt"});
        }
      });
}

void FleetStore::ApplyEntry(const StoreEntry& entry) {
  const Status taken = this->records->Apply(entry);
  if (!taken.ok()) {
    CLOG(ERROR, kFleetLog) << taken.error().ToString();
  }
}

}  // namespace daisyroad
