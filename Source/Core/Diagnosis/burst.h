#ifndef SOURCE_CORE_DIAGNOSIS_BURST_H_
#define SOURCE_CORE_DIAGNOSIS_BURST_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "Core/Common/time.h"

namespace daisyroad {

// Failures within this window form a burst. A fault causes bursts of failures;
// isolated failures also occur in normal operation.
constexpr std::chrono::seconds kBurstWindow{8};

// Returns the onset of every burst: each time that is followed by enough others
// for `count` times within kBurstWindow. An unrelated failure shortly before a
// fault also counts as an onset, so a rule that compares what happened after
// the onset has to try each of them.
std::vector<MonotonicTime> BurstOnsets(std::vector<MonotonicTime> times,
                                       std::size_t count);

// Returns the onset of the first burst of `count` times within kBurstWindow, or
// nullopt if there is none.
std::optional<MonotonicTime> BurstOnset(std::vector<MonotonicTime> times,
                                        std::size_t count);

}  // namespace daisyroad

#endif  // SOURCE_CORE_DIAGNOSIS_BURST_H_
