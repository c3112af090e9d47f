#ifndef SOURCE_CORE_ENTRY_CELL_WORKERS_H_
#define SOURCE_CORE_ENTRY_CELL_WORKERS_H_

#include <cstddef>
#include <map>
#include <set>
#include <vector>

#include "Core/Common/identifiers.h"
#include "Core/Common/time.h"
#include "Core/Declaration/worker_resources.h"
#include "Core/Routing/outlier_detector.h"
#include "Core/Routing/worker_selector.h"
#include "Core/Shares/resources.h"

namespace daisyroad {

struct EntryContext;
struct WorkerInfo;
class WorkerDirectory;

// The workers of one cell: what runs on each, how their tasks ended, and which
// of them gets the next task. Sums are updated with each change, since summing
// over all tasks for each start would take quadratic time.
class CellWorkers {
 public:
  CellWorkers(EntryContext* context,
              WorkerDirectory* directory,
              PoolName pool,
              ZoneName zone);

  // Sets the size of each worker, as declared for the pool.
  void SetWorkerSize(const WorkerResources& worker);
  // Updates the list of workers in the cell from the directory.
  void Refresh();

  // Reserves capacity on the worker for the task until RemoveTask.
  void AddTask(const WorkerName& worker,
               const TaskId& task,
               const Resources& size);
  void RemoveTask(const WorkerName& worker,
                  const TaskId& task,
                  const Resources& size);
  // Records the outcome of a task that was sent to the worker.
  void OnEnd(const WorkerName& worker, bool failed, Duration run_time);
  // Marks a worker that refused a start because it was full. The mark is
  // cleared when the worker next answers a lease renewal or changes.
  void SetFull(const WorkerName& worker, bool full);

  // Tasks that occupy capacity on the worker.
  const std::set<TaskId>& TasksOn(const WorkerName& worker) const;
  Resources FreeOn(const WorkerName& worker) const;
  // Free capacity of the workers that may start tasks.
  Resources TotalFree() const;
  // Total capacity of all workers that are not leaving.
  Resources Capacity() const;
  const Resources& WorkerSize() const { return this->size; }

  // `excluded` are workers that cannot start any waiting task.
  WorkerChoice Choose(const std::set<WorkerName>& excluded);
  // Ejects and readmits workers, and logs each change with its reason.
  void Evaluate();

 private:
  struct Load {
    Resources used;
    std::set<TaskId> tasks;
  };

  bool MayStart(const WorkerInfo& worker) const;
  WorkerState StateOf(const WorkerInfo& worker, bool is_excluded) const;

  EntryContext* context;
  WorkerDirectory* directory;
  PoolName pool;
  ZoneName zone;
  Resources size;
  // Owned by the directory, which never removes an entry.
  std::vector<const WorkerInfo*> members;
  std::map<WorkerName, Load> loads;
  std::set<WorkerName> full_workers;
  WorkerSelector selector;
  OutlierDetector outliers;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_ENTRY_CELL_WORKERS_H_
