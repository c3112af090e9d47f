#ifndef SOURCE_UNITTESTS_LOAD_RUN_CHECKS_H_
#define SOURCE_UNITTESTS_LOAD_RUN_CHECKS_H_

#include <cstddef>
#include <string>
#include <vector>

#include "Load/load_run.h"

namespace daisyroad {

using Echoes = std::vector<std::string>;

std::size_t CountUndone(const LoadRunResult& run);
// Lines on the calls of unknown fate and on the slowest ones, for the output of
// a failed test.
std::string DescribeRun(const LoadRunResult& run);
// A line on each call named.
std::string DescribeCalls(const LoadRunResult& run, const Echoes& echoes);
// Events that could not be played would make a test pass for nothing.
bool EveryEventWorked(const LoadRunResult& run);

}  // namespace daisyroad

#endif  // SOURCE_UNITTESTS_LOAD_RUN_CHECKS_H_
