#ifndef SOURCE_UNITTESTS_SITE_DELAYED_MACHINES_H_
#define SOURCE_UNITTESTS_SITE_DELAYED_MACHINES_H_

#include <functional>
#include <vector>

#include "Core/Common/time.h"
#include "Core/Platform/machine_client.h"
#include "Core/Transport/event_loop.h"

namespace daisyroad {

// A service of machines whose lists arrive late: they show the machines at the
// time of the request.
class DelayedMachines : public MachineClient {
 public:
  explicit DelayedMachines(EventLoop* loop) : loop(loop) {}

  void List(
      std::function<void(Result<std::vector<Machine>>)> callback) override {
    ++this->lists;
    this->loop->After(this->delay, [machines = this->machines, callback]() {
      callback(machines);
    });
  }
  void Move(const MachineName&,
            const PoolName&,
            std::int64_t,
            std::function<void(Result<MachineOrderOutcome>)>) override {}
  void Upkeep(const MachineName&,
              std::int64_t,
              std::int64_t,
              std::function<void(Result<MachineOrderOutcome>)>) override {}

  std::vector<Machine> machines;
  Milliseconds delay{1};
  int lists = 0;  // requested so far

 private:
  EventLoop* loop;
};

}  // namespace daisyroad

#endif  // SOURCE_UNITTESTS_SITE_DELAYED_MACHINES_H_
