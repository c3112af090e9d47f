#ifndef SOURCE_CTL_COMMAND_TABLE_H_
#define SOURCE_CTL_COMMAND_TABLE_H_

#include <string>
#include <vector>

#include "Ctl/command.h"

namespace daisyroad {

// All subcommands in the order of the help text.
const std::vector<Command>& AllCommands();

// Subcommand whose name begins `words`; null if there is none.
const Command* FindCommand(const std::vector<std::string>& words);

// Help of the tool: subcommands, options, exit codes.
std::string HelpText();
// Help of the subcommands whose name begins with `words`; empty if none does.
std::string HelpText(const std::vector<std::string>& words);

}  // namespace daisyroad

#endif  // SOURCE_CTL_COMMAND_TABLE_H_
