#ifndef SOURCE_CTL_RUN_CTL_H_
#define SOURCE_CTL_RUN_CTL_H_

#include <ostream>
#include <string>
#include <vector>

namespace daisyroad {

// Runs daisyroadctl with the arguments after the program name and returns its
// exit code.
int RunCtl(const std::vector<std::string>& arguments,
           std::ostream& out,
           std::ostream& err);

}  // namespace daisyroad

#endif  // SOURCE_CTL_RUN_CTL_H_
