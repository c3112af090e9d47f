#include "Core/Machines/sent_orders.h"

#include <catch2/catch.hpp>
#include <vector>

namespace daisyroad {
namespace {

const MonotonicTime kStart(std::chrono::hours(1));
const MachineName kMachine("m");
const PoolName kFrom("from");
const PoolName kTo("to");

std::vector<Machine> Listed() {
  Machine machine;
  machine.name = kMachine;
  machine.pool = kFrom;
  return {machine};
}

// Guards against a second machine for the same need while the answer to the
// order for the first one is lost.
TEST_CASE("A move without an answer counts until a later list") {
  SentOrders orders;
  orders.OnSent(kMachine, kTo);
  orders.ForgetListed(kStart + Milliseconds(900));
  CHECK(orders.Apply(Listed())[0].pool == kTo);
  orders.OnSettled(kMachine, kStart + Milliseconds(1000));
  orders.ForgetListed(kStart + Milliseconds(1000));
  CHECK(orders.Apply(Listed())[0].state == MachineState::kMoving);
  orders.ForgetListed(kStart + Milliseconds(1001));
  CHECK(orders.Apply(Listed())[0].state == MachineState::kUp);
  CHECK(orders.Apply(Listed())[0].pool == kFrom);
}

// Guards against a machine that is taken for lost after a refusal.
TEST_CASE("A refused order has no effect") {
  SentOrders orders;
  orders.OnSent(kMachine, PoolName());
  CHECK(orders.Apply(Listed())[0].state == MachineState::kUpkeep);
  orders.OnRefused(kMachine);
  CHECK(orders.Apply(Listed())[0].state == MachineState::kUp);
}

}  // namespace
}  // namespace daisyroad
