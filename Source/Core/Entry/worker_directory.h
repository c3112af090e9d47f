#ifndef SOURCE_CORE_ENTRY_WORKER_DIRECTORY_H_
#define SOURCE_CORE_ENTRY_WORKER_DIRECTORY_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Core/Common/identifiers.h"
#include "Core/Common/time.h"
#include "Core/Platform/listed_instance.h"
#include "Core/Platform/worker_messages.h"

namespace daisyroad {

struct EntryContext;

// What this instance knows of a backend server.
struct WorkerInfo {
  ListedInstance listed;
  PoolName pool;
  bool present = true;     // still in the instance list
  bool reachable = false;  // the last exchange succeeded
  bool leaving = false;    // according to the list or the worker itself
  std::string incarnation;
  // Clock sample: the worker's clock in a reply, and the local time at which
  // that reply arrived.
  WorkerClock clock{0};
  MonotonicTime sampled_at;
  bool has_clock = false;
  int slots = 0;
  MonotonicTime heard_at;
};

// The known backend servers by name, from the instance list and their replies.
class WorkerDirectory {
 public:
  using ChangeHandler = std::function<void(const WorkerName& worker)>;

  explicit WorkerDirectory(EntryContext* context);

  void Start();
  // Adds a handler that is called when a worker is new, becomes reachable or
  // unreachable, or leaves, and when its pool, list entry, incarnation, slots
  // or leaving state changes.
  void AddListener(ChangeHandler listener);

  const WorkerInfo* Find(const WorkerName& name) const;
  std::vector<const WorkerInfo*> InCell(const PoolName& pool,
                                        const ZoneName& zone) const;
  std::vector<const WorkerInfo*> InPool(const PoolName& pool) const;
  const std::map<WorkerName, WorkerInfo>& workers() const {
    return this->infos;
  }

  // Records the contents of any reply of a worker.
  void OnReply(const WorkerName& name,
               WorkerClock clock,
               const std::string& incarnation,
               bool leaving);
  void OnSlots(const WorkerName& name, int slots);
  void OnFailure(const WorkerName& name);
  // Sets the pool from a fleet record, which overrides the instance list.
  void SetPool(const WorkerName& name, const PoolName& pool);

  // Converts `deadline` from the local clock to the worker's clock; empty
  // without a sample. The result is a lower bound: the worker read its clock
  // before its reply arrived, so its clock reaches the result no later than the
  // local clock reaches the deadline.
  static std::optional<WorkerClock> ClockAt(const WorkerInfo& worker,
                                            MonotonicTime deadline);

 private:
  void Fetch();
  void Merge(const std::vector<ListedInstance>& instances);
  void Notify(const WorkerName& name);

  EntryContext* context;
  std::vector<ChangeHandler> listeners;
  std::map<WorkerName, WorkerInfo> infos;
  std::map<WorkerName, PoolName> assigned_pools;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_ENTRY_WORKER_DIRECTORY_H_
