#ifndef SOURCE_CORE_DIAGNOSIS_OBSERVATION_TEXT_H_
#define SOURCE_CORE_DIAGNOSIS_OBSERVATION_TEXT_H_

#include <cstddef>
#include <string>

#include "Core/Diagnosis/observation.h"

namespace daisyroad {

// Returns a one-line, human-readable description.
std::string ObservationText(const ObservationDetail& detail);
// Returns the total capacity in bytes of the strings in the observation.
std::size_t ObservationTextBytes(const ObservationDetail& detail);

}  // namespace daisyroad

#endif  // SOURCE_CORE_DIAGNOSIS_OBSERVATION_TEXT_H_
