#ifndef SOURCE_CTL_COMMAND_H_
#define SOURCE_CTL_COMMAND_H_

#include <cstddef>
#include <string>
#include <vector>

#include "Ctl/command_context.h"
#include "Ctl/exit_code.h"

namespace daisyroad {

// A subcommand of daisyroadctl.
struct Command {
  using Handler = ExitCode (*)(const CommandContext& context,
                               const std::vector<std::string>& arguments);

  std::vector<std::string> name;       // for example {"pool", "move"}
  std::vector<std::string> arguments;  // for example {"INSTANCE", "POOL"}
  std::vector<std::string> options;    // in addition to the common ones
  std::string summary;
  Handler handler;
  bool is_local = false;  // calls no server and needs no key
};

}  // namespace daisyroad

#endif  // SOURCE_CTL_COMMAND_H_
