#ifndef SOURCE_CORE_DIAGNOSIS_BURST_H_
#define SOURCE_CORE_DIAGNOSIS_BURST_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "Core/Common/time.h"

namespace daisyroad {

// Faults come in bursts; single failures spread over the span are ordinary.
constexpr std::chrono::seconds kBurstWindow{8};

// Starts of all bursts: times at which `count` times begin that lie within
// kBurstWindow. A single failure shortly before a fault starts a burst too, so
// a rule that compares what followed tries each of them.
std::vector<MonotonicTime> BurstOnsets(std::vector<MonotonicTime> times,
                                       std::size_t count);

// Start of the first `count` times that lie within kBurstWindow; nothing if
// there is no such burst.
std::optional<MonotonicTime> BurstOnset(std::vector<MonotonicTime> times,
                                        std::size_t count);

}  // namespace daisyroad

#endif  // SOURCE_CORE_DIAGNOSIS_BURST_H_
