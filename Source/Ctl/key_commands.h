#ifndef SOURCE_CTL_KEY_COMMANDS_H_
#define SOURCE_CTL_KEY_COMMANDS_H_

#include <vector>

#include "Ctl/command.h"

namespace daisyroad {

// key generate, give, withdraw, list.
std::vector<Command> KeyCommands();

}  // namespace daisyroad

#endif  // SOURCE_CTL_KEY_COMMANDS_H_
