#ifndef SOURCE_CTL_COMMAND_TABLE_H_
#define SOURCE_CTL_COMMAND_TABLE_H_

#include <string>
#include <vector>

#include "Ctl/command.h"

namespace daisyroad {

// All subcommands, in the order of the help text.
const std::vector<Command>& AllCommands();

// Returns the subcommand whose name is a prefix of `words`, or null if there is
// none.
const Command* FindCommand(const std::vector<std::string>& words);

// Help for daisyroadctl: subcommands, common options and exit codes.
std::string HelpText();
// Help for the subcommands whose name starts with `words` or is a prefix of it;
// empty if there are none. Without words, the help for daisyroadctl.
std::string HelpText(const std::vector<std::string>& words);

}  // namespace daisyroad

#endif  // SOURCE_CTL_COMMAND_TABLE_H_
