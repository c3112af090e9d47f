#include "Core/Site/worker_life.h"

#include <algorithm>

namespace daisyroad {

WorkerLife JudgeWorkerLife(const WorkerName& worker,
                           const PoolName& pool,
                           const MachineName& machine,
                           const std::vector<Machine>& machines) {
  const std::vector<Machine>::const_iterator found = std::find_if(
      machines.begin(), machines.end(),
      [&machine](const Machine& listed) { return listed.name == machine; });
  if (found == machines.end()) {
    return WorkerLife::kMachineAbsent;
  }
  if (found->pool != pool) {
    return WorkerLife::kOver;
  }
  switch (found->state) {
    case MachineState::kMoving:
    case MachineState::kUpkeep:
    case MachineState::kDown:
      return WorkerLife::kOver;
    case MachineState::kUp:
    case MachineState::kUnknown:
      break;
  }
  return found->worker.empty() || found->worker == worker ? WorkerLife::kMayGoOn
                                                          : WorkerLife::kOver;
}

const char* ToString(WorkerLife life) {
  switch (life) {
    case WorkerLife::kMayGoOn:
      return "may_go_on";
    case WorkerLife::kOver:
      return "over";
    case WorkerLife::kMachineAbsent:
      return "machine_absent";
  }
  return "unknown";
}

}  // namespace daisyroad
