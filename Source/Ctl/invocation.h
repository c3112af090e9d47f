#ifndef SOURCE_CTL_INVOCATION_H_
#define SOURCE_CTL_INVOCATION_H_

#include <set>
#include <string>
#include <vector>

#include "Ctl/ctl_options.h"

namespace daisyroad {

// A parsed command line.
struct Invocation {
  std::vector<std::string> words;      // subcommand and its arguments
  std::set<std::string> option_names;  // options that were given
  bool help = false;
  CtlOptions options;
};

}  // namespace daisyroad

#endif  // SOURCE_CTL_INVOCATION_H_
