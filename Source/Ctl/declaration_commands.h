#ifndef SOURCE_CTL_DECLARATION_COMMANDS_H_
#define SOURCE_CTL_DECLARATION_COMMANDS_H_

#include <vector>

#include "Ctl/command.h"

namespace daisyroad {

// validate, diff, apply, history, rollback.
std::vector<Command> DeclarationCommands();

}  // namespace daisyroad

#endif  // SOURCE_CTL_DECLARATION_COMMANDS_H_
