#ifndef SOURCE_CTL_ARGUMENT_PARSER_H_
#define SOURCE_CTL_ARGUMENT_PARSER_H_

#include <string>
#include <vector>

#include "Core/Common/result.h"
#include "Ctl/invocation.h"

namespace daisyroad {

// Parses the arguments after the program name with the Abseil flags of
// daisyroadctl. Options may appear anywhere; a `-` in an option name is treated
// as `_`; a list option may be repeated. absl::ParseCommandLine is not used
// because it exits with code 1 on an invalid option, while daisyroadctl exits
// with 2. Takes the key from --key, from the file named by --key_file or from
// the environment variable DAISYROAD_KEY. Errors are kInvalidArgument.
Result<Invocation> ParseArguments(const std::vector<std::string>& arguments);

// Help lines of the options that every subcommand accepts.
std::string CommonOptionsHelp();
// Help line of the option `name`.
std::string OptionHelp(const std::string& name);
// Whether every subcommand accepts the option.
bool IsCommonOption(const std::string& name);

}  // namespace daisyroad

#endif  // SOURCE_CTL_ARGUMENT_PARSER_H_
