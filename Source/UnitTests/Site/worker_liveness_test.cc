#include "Core/Site/worker_liveness.h"

#include <catch2/catch.hpp>
#include <vector>

namespace daisyroad {
namespace {

const WorkerName kWorker("w");
const MachineName kMachine("m");
const PoolName kPool("pool");

std::vector<Machine> MachinesWith(MachineState state,
                                  const WorkerName& worker,
                                  const PoolName& pool = kPool) {
  Machine machine;
  machine.name = kMachine;
  machine.pool = pool;
  machine.state = state;
  machine.worker = worker;
  Machine other;
  other.name = MachineName("other");
  return {other, machine};
}

WorkerLiveness Judge(const std::vector<Machine>& machines) {
  return ClassifyWorkerLiveness(kWorker, kPool, kMachine, machines);
}

// Guards against runs that are given up while they may go on.
TEST_CASE("A worker that its machine still names may go on") {
  CHECK(Judge(MachinesWith(MachineState::kUp, kWorker)) ==
        WorkerLiveness::kMayBeRunning);
  CHECK(Judge(MachinesWith(MachineState::kUp, WorkerName())) ==
        WorkerLiveness::kMayBeRunning);
  CHECK(Judge(MachinesWith(MachineState::kUnknown, kWorker)) ==
        WorkerLiveness::kMayBeRunning);
}

// Guards against a new scheduler that waits for the leases of workers whose
// machines moved to another pool or went into maintenance.
TEST_CASE("A worker is over once its machine has gone on") {
  CHECK(Judge(MachinesWith(MachineState::kMoving, WorkerName())) ==
        WorkerLiveness::kTerminated);
  CHECK(Judge(MachinesWith(MachineState::kUpkeep, WorkerName())) ==
        WorkerLiveness::kTerminated);
  CHECK(Judge(MachinesWith(MachineState::kDown, kWorker)) ==
        WorkerLiveness::kTerminated);
  CHECK(Judge(MachinesWith(MachineState::kUp, WorkerName("next"))) ==
        WorkerLiveness::kTerminated);
}

// Guards against LOST at vpl-ajot-grown scale-2 (snapshot 91cace22): machines
// that had been parked in the spare pool name no worker, and held up the jobs
// of the pool that they had left for 14 s after a change of its scheduler.
TEST_CASE("A worker is over once its machine is in another pool") {
  CHECK(Judge(MachinesWith(MachineState::kUp, WorkerName(),
                           PoolName("spare"))) == WorkerLiveness::kTerminated);
}

// Guards against LOST at vpl-ajot-grown scale-2: the machine of a worker that
// had left was no longer listed, and a task that lasts waited 14 s for it after
// a change of the scheduler.
TEST_CASE("A machine that is not listed is told from one that goes on") {
  CHECK(Judge({}) == WorkerLiveness::kMachineAbsent);
}

}  // namespace
}  // namespace daisyroad
