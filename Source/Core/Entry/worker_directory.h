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
  bool leaving = false;    // by the list or by its own word
  std::string incarnation;
  // Clock sample: the worker's clock in a reply, and when that reply came on
  // the own clock.
  WorkerClock clock{0};
  MonotonicTime sampled_at;
  bool has_clock = false;
  int slots = 0;
  MonotonicTime heard_at;
};

// Keeps the backend servers by name, from the instance list and their replies.
class WorkerDirectory {
 public:
  using ChangeHandler = std::function<void(const WorkerName& worker)>;

  explicit WorkerDirectory(EntryContext* context);

  void Start();
  // Called when a worker is new, changed pool, address or incarnation, began
  // to leave or left.
  void AddListener(ChangeHandler handler);

  const WorkerInfo* Find(const WorkerName& name) const;
  std::vector<const WorkerInfo*> InCell(const PoolName& pool,
                                        const ZoneName& zone) const;
  std::vector<const WorkerInfo*> InPool(const PoolName& pool) const;
  const std::map<WorkerName, WorkerInfo>& workers() const {
    return this->infos;
  }

  // Every reply of a worker.
  void OnReply(const WorkerName& name,
               WorkerClock clock,
               const std::string& incarnation,
               bool leaving);
  void OnSlots(const WorkerName& name, int slots);
  void OnFailure(const WorkerName& name);
  // A pool record of the fleet overrides the list.
  void SetPool(const WorkerName& name, const PoolName& pool);

  // The worker's clock at `deadline` of the own clock, empty without a sample.
  // It is a lower bound: the worker read its clock before its reply came, so it
  // reaches the value no later than the own clock reaches the deadline.
  static std::optional<WorkerClock> ClockAt(const WorkerInfo& worker,
                                            MonotonicTime deadline);

 private:
  void Fetch();
  void Merge(const std::vector<ListedInstance>& instances);
  void Notify(const WorkerName& name);

  EntryContext* context;
  std::vector<ChangeHandler> handlers;
  std::map<WorkerName, WorkerInfo> infos;
  std::map<WorkerName, PoolName> pools;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_ENTRY_WORKER_DIRECTORY_H_
