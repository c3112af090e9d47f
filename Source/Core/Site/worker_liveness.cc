#include "Core/Site/worker_liveness.h"

#include <algorithm>

namespace daisyroad {
namespace {

std::vector<Machine>::const_iterator FindMachine(
    const MachineName& machine,
    const std::vector<Machine>& machines) {
  return std::find_if(
      machines.begin(), machines.end(),
      [&machine](const Machine& listed) { return listed.name == machine; });
}

}  // namespace

WorkerLiveness ClassifyWorkerLiveness(const WorkerName& worker,
                                      const PoolName& pool,
                                      const MachineName& machine,
                                      const std::vector<Machine>& machines) {
  const std::vector<Machine>::const_iterator found =
      FindMachine(machine, machines);
  if (found == machines.end()) {
    return WorkerLiveness::kMachineAbsent;
  }
  if (found->pool != pool) {
    return WorkerLiveness::kTerminated;
  }
  switch (found->state) {
    case MachineState::kMoving:
    case MachineState::kUpkeep:
    case MachineState::kDown:
      return WorkerLiveness::kTerminated;
    case MachineState::kUp:
    case MachineState::kUnknown:
      break;
  }
  return found->worker.empty() || found->worker == worker
             ? WorkerLiveness::kMayBeRunning
             : WorkerLiveness::kTerminated;
}

WorkerLiveness ClassifyUnplacedWorker(const PoolName& pool,
                                      const std::vector<Machine>& machines) {
  const bool may_be_there = std::any_of(
      machines.begin(), machines.end(), [&pool](const Machine& machine) {
        return machine.pool == pool && machine.worker.empty() &&
               (machine.state == MachineState::kUp ||
                machine.state == MachineState::kUnknown);
      });
  return machines.empty() || may_be_there ? WorkerLiveness::kMayBeRunning
                                          : WorkerLiveness::kMachineAbsent;
}

WorkerEnd ClassifyWorkerEnd(const PoolName& pool,
                            const MachineName& machine,
                            const std::vector<Machine>& machines) {
  const std::vector<Machine>::const_iterator found =
      FindMachine(machine, machines);
  if (found == machines.end()) {
    return WorkerEnd::kUnknown;
  }
  if (found->pool != pool || found->state == MachineState::kMoving ||
      found->state == MachineState::kUpkeep) {
    return WorkerEnd::kPlanned;
  }
  return found->state == MachineState::kDown ? WorkerEnd::kDown
                                             : WorkerEnd::kUnknown;
}

const char* ToString(WorkerLiveness life) {
  switch (life) {
    case WorkerLiveness::kMayBeRunning:
      return "may_go_on";
    case WorkerLiveness::kTerminated:
      return "over";
    case WorkerLiveness::kMachineAbsent:
      return "machine_absent";
  }
  return "unknown";
}

}  // namespace daisyroad
