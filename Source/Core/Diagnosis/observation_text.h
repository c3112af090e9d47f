#ifndef SOURCE_CORE_DIAGNOSIS_OBSERVATION_TEXT_H_
#define SOURCE_CORE_DIAGNOSIS_OBSERVATION_TEXT_H_

#include <cstddef>
#include <string>

#include "Core/Diagnosis/observation.h"

namespace daisyroad {

// One line for people.
std::string ObservationText(const ObservationDetail& detail);
// Bytes of the texts that the observation holds outside its own structure.
std::size_t ObservationTextBytes(const ObservationDetail& detail);

}  // namespace daisyroad

#endif  // SOURCE_CORE_DIAGNOSIS_OBSERVATION_TEXT_H_
