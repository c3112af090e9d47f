#ifndef SOURCE_UNITTESTS_SITE_NO_MACHINES_H_
#define SOURCE_UNITTESTS_SITE_NO_MACHINES_H_

#include <functional>
#include <vector>

#include "Core/Platform/machine_client.h"

namespace daisyroad {

// A service of machines that has none.
class NoMachines : public MachineClient {
 public:
  void List(
      std::function<void(Result<std::vector<Machine>>)> callback) override {
    callback(std::vector<Machine>());
  }
  void Move(const MachineName&,
            const PoolName&,
            std::int64_t,
            std::function<void(Result<MachineOrderOutcome>)>) override {}
  void Upkeep(const MachineName&,
              std::int64_t,
              std::int64_t,
              std::function<void(Result<MachineOrderOutcome>)>) override {}
};

}  // namespace daisyroad

#endif  // SOURCE_UNITTESTS_SITE_NO_MACHINES_H_
