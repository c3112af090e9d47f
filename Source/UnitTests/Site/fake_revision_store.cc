#include "UnitTests/Site/fake_revision_store.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "Core/Common/logging.h"

namespace daisyroad {
namespace {

Error InjectedError(Errc code, const std::string& step) {
  return Error{code, step, "fake store", "set by the test"};
}

}  // namespace

FakeRevisionStore::FakeRevisionStore(EventLoop* loop) : loop(loop) {
  InitializeLogging(LogLevel::kError);
}

void FakeRevisionStore::Respond(std::function<void()> function) {
  this->loop->After(this->response_delay, std::move(function));
}

void FakeRevisionStore::Send(const std::vector<StoreItem>& response_items,
                             Milliseconds timeout,
                             std::function<void()> deliver,
                             std::function<void()> fail) {
  std::int64_t bytes = 0;
  for (const StoreItem& item : response_items) {
    // Values are sent in base64.
    bytes +=
        static_cast<std::int64_t>(item.key.size() + item.value.size() * 4 / 3);
  }
  if (this->response_delay > timeout) {
    this->loop->After(timeout, std::move(fail));
    return;
  }
  const MonotonicTime now = std::chrono::steady_clock::now();
  if (this->link_bytes_per_second == 0) {
    this->sent_bytes += bytes;
    this->Respond(std::move(deliver));
    return;
  }
  const MonotonicTime begin = std::max(now, this->link_free_at);
  const MonotonicTime end =
      begin + Milliseconds(1000 * bytes / this->link_bytes_per_second);
  if (begin > now + timeout) {
    this->loop->After(timeout, std::move(fail));
    return;
  }
  this->sent_bytes += bytes;
  this->link_free_at = end;
  this->loop->After(end - now + this->response_delay, std::move(deliver));
}

void FakeRevisionStore::Get(const std::string& key,
                            Milliseconds timeout,
                            Callback<std::optional<StoreItem>> callback) {
  if (this->Reset(callback)) {
    return;
  }
  if (this->is_silent) {
    this->loop->After(timeout, [callback]() {
      callback(InjectedError(Errc::kTimeout, "store.get"));
    });
    return;
  }
  const std::map<std::string, StoreItem>::const_iterator found =
      this->items.find(key);
  std::optional<StoreItem> item;
  std::vector<StoreItem> sent;
  if (found != this->items.end()) {
    item = found->second;
    sent.push_back(found->second);
  }
  this->Send(
      sent, timeout,
      [item, callback]() { callback(Result<std::optional<StoreItem>>(item)); },
      [callback]() { callback(InjectedError(Errc::kTimeout, "store.get")); });
}

void FakeRevisionStore::List(const std::string& prefix,
                             const std::string& after,
                             Milliseconds timeout,
                             Callback<StorePage> callback) {
  if (this->Reset(callback)) {
    return;
  }
  ++this->pages;
  const bool is_lost = this->lost_page_interval > 0 &&
                       this->pages % this->lost_page_interval == 0;
  if (this->is_silent || is_lost || this->page_duration > timeout) {
    this->loop->After(timeout, [callback]() {
      callback(InjectedError(Errc::kTimeout, "store.list"));
    });
    return;
  }
  this->loop->After(this->page_duration, [this, prefix, after, timeout,
                                          callback]() {
    StorePage page;
    page.store_revision = this->revision;
    for (const std::pair<const std::string, StoreItem>& entry : this->items) {
      if (!entry.first.starts_with(prefix) || entry.first <= after) {
        continue;
      }
      if (page.items.size() == this->page_size) {
        page.has_more = true;
        break;
      }
      page.items.push_back(entry.second);
    }
    this->Send(
        page.items, timeout, [page, callback]() { callback(page); },
        [callback]() {
          callback(InjectedError(Errc::kTimeout, "store.list"));
        });
  });
}

void FakeRevisionStore::Watch(const std::string& prefix,
                              std::int64_t after,
                              Milliseconds wait,
                              Callback<StoreChanges> callback) {
  if (this->Reset(callback)) {
    return;
  }
  const std::shared_ptr<Watcher> watcher = std::make_shared<Watcher>(
      Watcher{prefix, after, std::move(callback), false,
              std::chrono::steady_clock::now() + wait + kWatchGrace});
  this->watchers.push_back(watcher);
  this->Respond([this]() { this->NotifyWatchers(); });
  this->loop->After(wait, [this, watcher]() {
    if (!watcher->is_done) {
      watcher->is_done = true;
      StoreChanges none;
      none.store_revision = watcher->revision;
      watcher->callback(none);
    }
  });
}

void FakeRevisionStore::NotifyWatchers() {
  if (this->is_silent || this->are_watches_suspended) {
    return;
  }
  const std::vector<std::shared_ptr<Watcher>> current =
      std::exchange(this->watchers, {});
  for (const std::shared_ptr<Watcher>& watcher : current) {
    if (watcher->is_done) {
      continue;
    }
    StoreChanges changes;
    changes.store_revision = this->revision;
    changes.is_history_lost = watcher->revision < this->history_begins;
    for (const StoreChange& change : this->history) {
      if (change.key.starts_with(watcher->prefix) &&
          change.revision > watcher->revision) {
        changes.changes.push_back(change);
      }
    }
    if (changes.changes.empty() && !changes.is_history_lost) {
      this->watchers.push_back(watcher);
      continue;
    }
    watcher->is_done = true;
    watcher->callback(changes);
  }
}

void FakeRevisionStore::Commit(const StoreTransaction& transaction,
                               Milliseconds timeout,
                               Callback<TransactionResult> callback) {
  if (this->Reset(callback)) {
    return;
  }
  ++this->commits;
  const std::function<void()> fail = [this, timeout, callback]() {
    this->loop->After(timeout, [callback]() {
      callback(InjectedError(Errc::kTimeout, "store.commit"));
    });
  };
  if (this->is_silent) {
    fail();
    return;
  }
  if (transaction.expected.size() + transaction.writes.size() +
          transaction.deletions.size() >
      kMostTransactionEntries) {
    ++this->refused_transactions;
    this->Respond([callback]() {
      callback(InjectedError(Errc::kInvalidArgument, "store.commit"));
    });
    return;
  }
  bool holds = true;
  TransactionConflict conflict;
  for (const KeyRevision& expected : transaction.expected) {
    const std::map<std::string, StoreItem>::const_iterator found =
        this->items.find(expected.key);
    const bool is_absent = found == this->items.end();
    holds &= (is_absent ? 0 : found->second.revision) == expected.revision;
    if (!is_absent) {
      conflict.items.push_back(found->second);
    }
  }
  if (holds && transaction.writes.size() + transaction.deletions.size() > 0) {
    ++this->revision;
    for (const StoreWrite& write : transaction.writes) {
      this->items[write.key] =
          StoreItem{write.key, write.value, this->revision};
      this->lease_by_key[write.key] = write.lease;
      this->RecordChange(StoreChange{write.key, this->revision, write.value});
    }
    for (const std::string& key : transaction.deletions) {
      this->items.erase(key);
      this->RecordChange(StoreChange{key, this->revision, {}});
    }
  }
  if (this->loses_answers) {
    fail();
    return;
  }
  if (!holds) {
    this->Send(
        conflict.items, timeout,
        [conflict, callback]() { callback(TransactionResult(conflict)); },
        [callback]() {
          callback(InjectedError(Errc::kTimeout, "store.commit"));
        });
    return;
  }
  const TransactionCommitted committed{this->revision};
  this->Send(
      {}, timeout,
      [this, committed, callback]() {
        callback(TransactionResult(committed));
        this->NotifyWatchers();
      },
      [callback]() {
        callback(InjectedError(Errc::kTimeout, "store.commit"));
      });
}

void FakeRevisionStore::GrantLease(Milliseconds duration,
                                   Milliseconds timeout,
                                   Callback<StoreLease> callback) {
  if (this->Reset(callback)) {
    return;
  }
  if (this->is_silent) {
    this->loop->After(timeout, [callback]() {
      callback(InjectedError(Errc::kTimeout, "store.grant_lease"));
    });
    return;
  }
  const StoreLease lease = this->next_lease++;
  this->durations[lease] = duration;
  this->ScheduleExpiry(lease);
  this->Respond([callback, lease]() { callback(lease); });
}

void FakeRevisionStore::KeepLease(StoreLease lease,
                                  Milliseconds timeout,
                                  Callback<std::monostate> callback) {
  if (this->Reset(callback, true)) {
    return;
  }
  if (this->is_silent) {
    this->loop->After(timeout, [callback]() {
      callback(InjectedError(Errc::kTimeout, "store.keep_lease"));
    });
    return;
  }
  const bool is_alive = this->durations.contains(lease);
  if (is_alive) {
    this->ScheduleExpiry(lease);
  }
  this->Respond([callback, is_alive]() {
    callback(is_alive
                 ? OkStatus()
                 : Status(InjectedError(Errc::kNotFound, "store.keep_lease")));
  });
}

void FakeRevisionStore::Put(const std::string& key, const std::string& value) {
  ++this->revision;
  this->items[key] = StoreItem{key, value, this->revision};
  this->RecordChange(StoreChange{key, this->revision, value});
  this->Respond([this]() { this->NotifyWatchers(); });
}

void FakeRevisionStore::ScheduleExpiry(StoreLease lease) {
  const std::int64_t renewal = ++this->renewals[lease];
  this->loop->After(this->durations.at(lease), [this, lease, renewal]() {
    // Leases do not expire while the store is down.
    if (!this->is_silent && !this->is_resetting &&
        this->durations.contains(lease) &&
        this->renewals.at(lease) == renewal) {
      this->Expire(lease);
    }
  });
}

void FakeRevisionStore::Expire(StoreLease lease) {
  this->durations.erase(lease);
  ++this->revision;
  for (const std::pair<const std::string, StoreLease>& entry :
       std::map<std::string, StoreLease>(this->lease_by_key)) {
    if (entry.second == lease && this->items.erase(entry.first) > 0) {
      this->lease_by_key.erase(entry.first);
      this->RecordChange(StoreChange{entry.first, this->revision, {}});
    }
  }
  this->Respond([this]() { this->NotifyWatchers(); });
}

void FakeRevisionStore::DropHistory() {
  this->history.clear();
  // Existing watches are closed. A new one from the same revision does not
  // receive the dropped changes.
  const std::vector<std::shared_ptr<Watcher>> current =
      std::exchange(this->watchers, {});
  for (const std::shared_ptr<Watcher>& watcher : current) {
    if (!watcher->is_done) {
      watcher->is_done = true;
      this->Respond([watcher]() {
        watcher->callback(InjectedError(Errc::kProtocol, "store.watch"));
      });
    }
  }
}

void FakeRevisionStore::DisconnectWatches() {
  this->history.clear();
  this->history_begins = this->revision;
  const std::vector<std::shared_ptr<Watcher>> current =
      std::exchange(this->watchers, {});
  for (const std::shared_ptr<Watcher>& watcher : current) {
    if (!watcher->is_done) {
      watcher->is_done = true;
      this->loop->After(
          watcher->client_timeout_at - std::chrono::steady_clock::now(),
          [watcher]() {
            watcher->callback(InjectedError(Errc::kTimeout, "store.watch"));
          });
    }
  }
}

void FakeRevisionStore::RecordChange(const StoreChange& change) {
  this->history.push_back(change);
}

}  // namespace daisyroad
