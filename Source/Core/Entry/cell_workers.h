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
// of them gets the next task. Counts are kept, since summing over all tasks for
// each start takes time in proportion to the square of the tasks.
class CellWorkers {
 public:
  CellWorkers(EntryContext* context,
              WorkerDirectory* directory,
              PoolName pool,
              ZoneName zone);

  // Size of each worker, as declared for the pool.
  void SetWorkerSize(const WorkerResources& worker);
  // Reads the members of the cell from the directory again.
  void Refresh();

  // The task holds room on the worker until Vacate.
  void Occupy(const WorkerName& worker,
              const TaskId& task,
              const Resources& size);
  void Vacate(const WorkerName& worker,
              const TaskId& task,
              const Resources& size);
  // How a task ended that was sent to the worker.
  void OnEnd(const WorkerName& worker, bool failed, Duration run_time);
  // The worker refused a start as full; until it is heard of again.
  void SetFull(const WorkerName& worker, bool full);

  // Tasks that hold room on the worker.
  const std::set<TaskId>& TasksOn(const WorkerName& worker) const;
  Resources FreeOn(const WorkerName& worker) const;
  // Room on the workers that may start tasks.
  Resources TotalFree() const;
  // Room of all workers that do not leave.
  Resources Capacity() const;
  const Resources& WorkerSize() const { return this->size; }

  // `unfit` are workers on which no waiting task has room.
  WorkerChoice Choose(const std::set<WorkerName>& unfit);
  // Ejects and readmits workers; logs each change with its reason.
  void Evaluate();

 private:
  struct Load {
    Resources used;
    std::set<TaskId> tasks;
  };

  bool MayStart(const WorkerInfo& worker) const;
  WorkerState StateOf(const WorkerInfo& worker, bool unfit) const;

  EntryContext* context;
  WorkerDirectory* directory;
  PoolName pool;
  ZoneName zone;
  Resources size;
  // Entries of the directory, which keeps them.
  std::vector<const WorkerInfo*> members;
  std::map<WorkerName, Load> loads;
  std::set<WorkerName> refused;
  WorkerSelector selector;
  OutlierDetector outliers;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_ENTRY_CELL_WORKERS_H_
