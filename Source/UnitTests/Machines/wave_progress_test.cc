#include "Core/Machines/wave_progress.h"

#include <catch2/catch.hpp>

namespace daisyroad {
namespace {

const MonotonicTime kStart(std::chrono::hours(1));
const MachineName kMachine("m");
// Beyond the time after which an order may still be executed.
constexpr Milliseconds kLong{16000};

Machine InState(MachineState state) {
  Machine machine;
  machine.name = kMachine;
  machine.state = state;
  return machine;
}

WaveProgress Ordered() {
  WaveProgress progress;
  progress.Reserve(kMachine);
  progress.OnRecorded({kMachine});
  progress.OnOrdered(kMachine);
  return progress;
}

// Guards against LIMIT by an order whose answer was lost.
TEST_CASE("An order without an answer counts until it is settled") {
  WaveProgress progress = Ordered();
  progress.OnNoAnswer(kMachine, kStart);
  const Machine up = InState(MachineState::kUp);
  CHECK_FALSE(progress.OnListed(up, kStart + Milliseconds(5000), false));
  REQUIRE(progress.IsReserved(kMachine));
  SECTION("by a list that shows it") {
    CHECK(progress.OnListed(InState(MachineState::kUpkeep), kStart, false));
    CHECK(progress.done.contains(kMachine));
  }
  SECTION("not by a list that may show the order of another wave") {
    CHECK_FALSE(
        progress.OnListed(InState(MachineState::kUpkeep), kStart, true));
    CHECK(progress.IsReserved(kMachine));
  }
  SECTION("by an answer to the same order") {
    progress.OnOrdered(kMachine);
    CHECK_FALSE(progress.OnAnswer(kMachine, MachineOrderOutcome::kBusy));
    CHECK(progress.IsReserved(kMachine));
    CHECK(progress.OnAnswer(kMachine, MachineOrderOutcome::kDone));
    CHECK(progress.done.contains(kMachine));
    CHECK_FALSE(progress.IsReserved(kMachine));
  }
  SECTION("or until its time is past") {
    CHECK(progress.OnListed(up, kStart + kLong, false));
    CHECK_FALSE(progress.IsReserved(kMachine));
    CHECK(progress.done.empty());
  }
}

// Guards against a wave that waits for a machine that gets no order any more.
TEST_CASE("A reservation ends with the reason for it") {
  WaveProgress progress = Ordered();
  SECTION("when the order was refused") {
    CHECK(progress.OnAnswer(kMachine, MachineOrderOutcome::kBusy));
  }
  SECTION("when the machine goes down before it is ordered again") {
    progress.OnNotReceived(kMachine);
    CHECK_FALSE(progress.OnListed(InState(MachineState::kUp), kStart, false));
    CHECK(progress.OnListed(InState(MachineState::kDown), kStart, false));
  }
  CHECK_FALSE(progress.IsReserved(kMachine));
}

// Guards against orders that the next leader would not know.
TEST_CASE("A machine is ordered only once its reservation is recorded") {
  WaveProgress progress;
  progress.Reserve(kMachine);
  CHECK_FALSE(progress.IsRecorded(kMachine));
  progress.OnRecorded(progress.Reserved());
  CHECK(progress.IsRecorded(kMachine));
}

}  // namespace
}  // namespace daisyroad
