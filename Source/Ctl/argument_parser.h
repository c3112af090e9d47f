#ifndef SOURCE_CTL_ARGUMENT_PARSER_H_
#define SOURCE_CTL_ARGUMENT_PARSER_H_

#include <string>
#include <vector>

#include "Core/Common/result.h"
#include "Ctl/invocation.h"

namespace daisyroad {

// Parses the arguments after the program name with the Abseil flags of
// daisyroadctl. Options may stand anywhere; a `-` in an option name is read as
// `_`; a list option may be repeated. absl::ParseCommandLine is not used: it
// ends the process with code 1 on a bad option, and the code for that is 2.
// Reads DAISYROAD_KEY and the file of --key_file. Errors are kInvalidArgument.
Result<Invocation> ParseArguments(const std::vector<std::string>& arguments);

// One line for each option that every subcommand takes.
std::string CommonOptionsHelp();
// One line for the option `name`.
std::string OptionHelp(const std::string& name);
// Whether every subcommand takes the option.
bool IsCommonOption(const std::string& name);

}  // namespace daisyroad

#endif  // SOURCE_CTL_ARGUMENT_PARSER_H_
