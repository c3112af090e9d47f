#ifndef SOURCE_CTL_TASK_COMMANDS_H_
#define SOURCE_CTL_TASK_COMMANDS_H_

#include <vector>

#include "Ctl/command.h"

namespace daisyroad {

// task show, submit, cancel.
std::vector<Command> TaskCommands();

}  // namespace daisyroad

#endif  // SOURCE_CTL_TASK_COMMANDS_H_
