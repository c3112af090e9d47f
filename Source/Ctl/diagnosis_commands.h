#ifndef SOURCE_CTL_DIAGNOSIS_COMMANDS_H_
#define SOURCE_CTL_DIAGNOSIS_COMMANDS_H_

#include <vector>

#include "Ctl/command.h"

namespace daisyroad {

// explain, tail.
std::vector<Command> DiagnosisCommands();

}  // namespace daisyroad

#endif  // SOURCE_CTL_DIAGNOSIS_COMMANDS_H_
