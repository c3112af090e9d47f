#ifndef SOURCE_CORE_SITE_WORKER_DIRECTORY_H_
#define SOURCE_CORE_SITE_WORKER_DIRECTORY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Core/Common/identifiers.h"
#include "Core/Common/result.h"
#include "Core/Common/time.h"
#include "Core/Jobs/worker_listing.h"
#include "Core/Platform/revision_store.h"

namespace daisyroad {

class EventLoop;
class SiteCodec;

// The workers that are registered in the store, read at an interval while
// anyone needs them. Workers write their entries every second or two, and each
// write would end a watch; a listing costs the store less.
class WorkerDirectory {
 public:
  using Workers = std::map<WorkerName, WorkerListing>;
  struct Listener {
    std::function<bool()> is_needed;
    std::function<void()> on_change;
  };

  // All must outlive this object.
  WorkerDirectory(RevisionStore* store,
                  EventLoop* loop,
                  SiteCodec* codec,
                  Listener listener);
  WorkerDirectory(const WorkerDirectory&) = delete;
  WorkerDirectory& operator=(const WorkerDirectory&) = delete;

  // Reads now and at the interval from then on.
  void Start();
  void Refresh();

  const Workers& workers() const { return this->listed; }

 private:
  // An entry of the store; without a listing if it names no worker.
  struct Entry {
    std::int64_t revision = 0;
    std::optional<WorkerListing> listing;
  };

  void ReadPage(const std::string& after,
                const std::shared_ptr<std::vector<StoreItem>>& items);
  // `error` is empty after a reading that succeeded.
  void RecordReadResult(const std::string& error);
  void Adopt(const std::vector<StoreItem>& items);
  std::optional<WorkerListing> Decode(const StoreItem& item);

  RevisionStore* store;
  EventLoop* loop;
  SiteCodec* codec;
  Listener listener;
  Workers listed;
  // The entries of the last reading by key; most are the same in the next.
  std::map<std::string, Entry> entries;
  std::set<std::string> unreadable;
  bool has_failed = false;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_SITE_WORKER_DIRECTORY_H_
