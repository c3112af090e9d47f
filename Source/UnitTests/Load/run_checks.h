#ifndef SOURCE_UNITTESTS_LOAD_RUN_CHECKS_H_
#define SOURCE_UNITTESTS_LOAD_RUN_CHECKS_H_

#include <cstddef>
#include <string>
#include <vector>

#include "Load/load_run.h"

namespace daisyroad {

using Echoes = std::vector<std::string>;

std::size_t CountUndone(const LoadRunResult& run);
// Describes the calls with unknown outcome and the slowest calls, for the
// output of a failed test.
std::string DescribeRun(const LoadRunResult& run);
// Describes each call in `echoes` on one line.
std::string DescribeCalls(const LoadRunResult& run, const Echoes& echoes);
// Returns true if every event succeeded. A test whose fault or operator call
// failed would pass without testing anything.
bool AllEventsSucceeded(const LoadRunResult& run);

}  // namespace daisyroad

#endif  // SOURCE_UNITTESTS_LOAD_RUN_CHECKS_H_
