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

WorkerLiveness Classify(const std::vector<Machine>& machines) {
  return ClassifyWorkerLiveness(kWorker, kPool, kMachine, machines);
}

// Guards against giving up runs that may still be running.
TEST_CASE("A worker that its machine still reports may be running") {
  CHECK(Classify(MachinesWith(MachineState::kUp, kWorker)) ==
        WorkerLiveness::kMayBeRunning);
  CHECK(Classify(MachinesWith(MachineState::kUp, WorkerName())) ==
        WorkerLiveness::kMayBeRunning);
  CHECK(Classify(MachinesWith(MachineState::kUnknown, kWorker)) ==
        WorkerLiveness::kMayBeRunning);
}

// Guards against a new scheduler waiting for the leases of workers whose
// machines moved to another pool or went into maintenance.
TEST_CASE("A worker has terminated once its machine serves something else") {
  CHECK(Classify(MachinesWith(MachineState::kMoving, WorkerName())) ==
        WorkerLiveness::kTerminated);
  CHECK(Classify(MachinesWith(MachineState::kUpkeep, WorkerName())) ==
        WorkerLiveness::kTerminated);
  CHECK(Classify(MachinesWith(MachineState::kDown, kWorker)) ==
        WorkerLiveness::kTerminated);
  CHECK(Classify(MachinesWith(MachineState::kUp, WorkerName("next"))) ==
        WorkerLiveness::kTerminated);
}

// Guards against waiting for workers whose machines moved to the spare pool
// (LOST at vpl-ajot-grown scale-2, snapshot 91cace22). Such machines reported
// no worker and delayed the jobs of their previous pool for 14 s after a change
// of its scheduler.
TEST_CASE("A worker has terminated once its machine is in another pool") {
  CHECK(Classify(
            MachinesWith(MachineState::kUp, WorkerName(), PoolName("spare"))) ==
        WorkerLiveness::kTerminated);
}

// Guards against waiting for a worker whose machine has been removed (LOST at
// vpl-ajot-grown scale-2). The machine was no longer listed, and a long-running
// task waited 14 s for the worker after a change of the scheduler.
TEST_CASE("A machine that is not listed is reported as absent") {
  CHECK(Classify({}) == WorkerLiveness::kMachineAbsent);
}

// Guards against giving up runs of a worker whose machine does not report it.
TEST_CASE("A worker without a known machine may be on one without a worker") {
  CHECK(ClassifyUnplacedWorker(kPool,
                               MachinesWith(MachineState::kUp, WorkerName())) ==
        WorkerLiveness::kMayBeRunning);
  CHECK(ClassifyUnplacedWorker(kPool, {}) == WorkerLiveness::kMayBeRunning);
  CHECK(ClassifyUnplacedWorker(
            kPool, MachinesWith(MachineState::kUp, WorkerName("next"))) ==
        WorkerLiveness::kMachineAbsent);
  CHECK(ClassifyUnplacedWorker(
            kPool, MachinesWith(MachineState::kUpkeep, WorkerName())) ==
        WorkerLiveness::kMachineAbsent);
}

}  // namespace
}  // namespace daisyroad
