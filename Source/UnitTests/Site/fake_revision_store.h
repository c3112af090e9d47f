#ifndef SOURCE_UNITTESTS_SITE_FAKE_REVISION_STORE_H_
#define SOURCE_UNITTESTS_SITE_FAKE_REVISION_STORE_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "Core/Platform/revision_store.h"
#include "Core/Transport/event_loop.h"

namespace daisyroad {

// In-memory store that answers calls on the loop after one millisecond. Faults
// can be injected at any time.
class FakeRevisionStore : public RevisionStore {
 public:
  explicit FakeRevisionStore(EventLoop* loop);

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

  // Writes a key as another client would.
  void Put(const std::string& key, const std::string& value);
  // Ends the lease and deletes its keys.
  void Expire(StoreLease lease);
  // Closes all watches and drops the changes that they have not delivered.
  void DropHistory();
  // Cuts all watches without a reset and drops the changes that they have not
  // delivered, so that they fail only when their client gives up.
  void DisconnectWatches();

  bool is_resetting = false;   // all calls fail at once
  int reset_calls = 0;         // other than lease renewals
  bool is_silent = false;      // calls are neither executed nor answered
  bool loses_answers = false;  // commits are executed but not answered
  bool are_watches_suspended = false;  // watches deliver no changes
  std::size_t page_size = 1000;        // maximum number of items per page
  Milliseconds page_duration{1};       // time until a page has arrived
  Milliseconds response_delay{1};      // until a response begins to arrive
  int lost_page_interval = 0;  // every nth page does not arrive; 0: none
  // Bandwidth of the link to the client, which carries one response after the
  // other; 0: unlimited. Only responses with items take time.
  std::int64_t link_bytes_per_second = 0;
  std::int64_t sent_bytes = 0;  // of items
  std::map<std::string, StoreItem> items;
  std::map<std::string, StoreLease> lease_by_key;
  int commits = 0;
  int refused_transactions = 0;  // that were too large
  int pages = 0;

 private:
  struct Watcher {
    std::string prefix;
    std::int64_t revision = 0;
    Callback<StoreChanges> callback;
    bool is_done = false;
    MonotonicTime client_timeout_at;
  };

  void Respond(std::function<void()> function);
  // Fails the call if the store resets connections.
  template <typename T>
  bool Reset(const Callback<T>& callback, bool is_renewal = false) {
    if (this->is_resetting) {
      this->reset_calls += is_renewal ? 0 : 1;
      this->loop->After(this->response_delay, [callback]() {
        callback(Error{Errc::kProtocol, "store", "fake store", "reset"});
      });
    }
    return this->is_resetting;
  }
  // Sends a response with items over the link. Calls `fail` instead if it does
  // not begin to arrive within the timeout.
  void Send(const std::vector<StoreItem>& response_items,
            Milliseconds timeout,
            std::function<void()> deliver,
            std::function<void()> fail);
  // Expires the lease after its duration unless it is renewed before.
  void ScheduleExpiry(StoreLease lease);
  void RecordChange(const StoreChange& change);
  void NotifyWatchers();

  EventLoop* loop;
  MonotonicTime link_free_at;
  std::int64_t revision = 10;
  std::int64_t history_begins = 0;
  StoreLease next_lease = 1;
  std::map<StoreLease, Milliseconds> durations;  // of valid leases
  std::map<StoreLease, std::int64_t> renewals;
  std::vector<StoreChange> history;
  std::vector<std::shared_ptr<Watcher>> watchers;
};

}  // namespace daisyroad

#endif  // SOURCE_UNITTESTS_SITE_FAKE_REVISION_STORE_H_
