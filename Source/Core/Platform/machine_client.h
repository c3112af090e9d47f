#ifndef SOURCE_CORE_PLATFORM_MACHINE_CLIENT_H_
#define SOURCE_CORE_PLATFORM_MACHINE_CLIENT_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "Core/Common/identifiers.h"
#include "Core/Common/result.h"
#include "Core/Common/strong_string.h"
#include "Core/Common/time.h"

namespace daisyroad {

using MachineName = StrongString<struct MachineNameTag>;

enum class MachineState { kUp, kMoving, kUpkeep, kDown, kUnknown };

// An instance of the fleet and the worker that runs on it.
struct Machine {
  MachineName name;
  PoolName pool;
  MachineState state = MachineState::kUp;
  ZoneName zone;
  WorkerName worker;  // empty if no worker runs
};

enum class MachineOrderOutcome {
  kDone,       // carried out, by this order or an earlier one
  kFenced,     // the machine has orders from a later holder
  kBusy,       // the machine is not up, or is leaving
  kNotListed,  // the machine does not belong to the wave
  kInvalid,    // no such machine, or a pool of another kind
};

// Lists the platform's machines and sends orders for them. `fence` is a fencing
// token, counted for each machine. An order without a response may have been
// carried out.
class MachineClient {
 public:
  virtual ~MachineClient() = default;

  virtual void List(std::function<void(Result<std::vector<Machine>>)>) = 0;
  virtual void Move(const MachineName& machine,
                    const PoolName& pool,
                    std::int64_t fence,
                    std::function<void(Result<MachineOrderOutcome>)>) = 0;
  virtual void Upkeep(const MachineName& machine,
                      std::int64_t wave,
                      std::int64_t fence,
                      std::function<void(Result<MachineOrderOutcome>)>) = 0;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_PLATFORM_MACHINE_CLIENT_H_
