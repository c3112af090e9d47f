#ifndef SOURCE_CTL_FLEET_COMMANDS_H_
#define SOURCE_CTL_FLEET_COMMANDS_H_

#include <vector>

#include "Ctl/command.h"

namespace daisyroad {

// status, zones, pools, drain, maintenance, plan.
std::vector<Command> FleetCommands();

}  // namespace daisyroad

#endif  // SOURCE_CTL_FLEET_COMMANDS_H_
