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

// An instance of the fleet and the worker that lives on it.
struct Machine {
  MachineName name;
  PoolName pool;
  MachineState state = MachineState::kUp;
  ZoneName zone;
  WorkerName worker;  // empty while there is none
};

enum class MachineOrderOutcome {
  kDone,       // carried out, now or before
  kFenced,     // a later holder has given orders for the machine
  kBusy,       // the machine is not up, or is leaving
  kNotListed,  // the machine does not belong to the wave
  kInvalid,    // no such machine, or another kind of pool
};

// The platform's list of machines and the orders it takes for them. `fence`
// counts per machine; a call without an answer may have been carried out.
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
