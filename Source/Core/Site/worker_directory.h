#ifndef SOURCE_CORE_SITE_WORKER_DIRECTORY_H_
#define SOURCE_CORE_SITE_WORKER_DIRECTORY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
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

// The workers registered in the store, polled while they are needed and
// forgotten otherwise. Workers write their entries every one or two seconds and
// each write would complete a watch, so polling costs the store less than
// watching.
class WorkerDirectory {
 public:
  using Workers = std::map<WorkerName, WorkerListing>;
  struct Listener {
    std::function<bool()> is_needed;
    std::function<void()> on_change;
  };

  // All pointers must outlive this object.
  WorkerDirectory(RevisionStore* store,
                  EventLoop* loop,
                  SiteCodec* codec,
                  Listener listener);
  WorkerDirectory(const WorkerDirectory&) = delete;
  WorkerDirectory& operator=(const WorkerDirectory&) = delete;

  // Reads the entries now and at regular intervals from then on.
  void Start();
  // Reads the entries now, unless a read is in progress.
  void Refresh();

  const Workers& workers() const { return this->listed; }

 private:
  // A store entry; it has no listing if it does not describe a worker.
  struct Entry {
    std::int64_t revision = 0;
    std::optional<WorkerListing> listing;
  };

  void ReadPage(const std::string& after,
                const std::shared_ptr<std::vector<StoreItem>>& items);
  // Logs when reads start to fail or succeed again. `error` is empty after a
  // successful read.
  void RecordReadResult(const std::string& error);
  void Adopt(const std::vector<StoreItem>& items);
  // Logs an entry that is not readable unless `is_logged`.
  std::optional<WorkerListing> Decode(const StoreItem& item, bool is_logged);

  RevisionStore* store;
  EventLoop* loop;
  SiteCodec* codec;
  Listener listener;
  bool is_reading = false;
  Workers listed;
  // The entries of the last read by key, kept because most do not change until
  // the next one and need not be decoded again.
  std::map<std::string, Entry> entries;
  bool has_failed = false;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_SITE_WORKER_DIRECTORY_H_
