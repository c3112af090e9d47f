#ifndef SOURCE_CTL_COMMAND_CONTEXT_H_
#define SOURCE_CTL_COMMAND_CONTEXT_H_

#include <ostream>

#include "Ctl/invocation.h"

namespace daisyroad {

class ServerClient;

// Inputs and output streams of a subcommand handler. `client` is null for a
// subcommand that calls no server.
struct CommandContext {
  const Invocation& invocation;
  ServerClient* client;
  std::ostream& out;
  std::ostream& err;
};

}  // namespace daisyroad

#endif  // SOURCE_CTL_COMMAND_CONTEXT_H_
