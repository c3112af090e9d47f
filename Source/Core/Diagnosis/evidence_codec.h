#ifndef SOURCE_CORE_DIAGNOSIS_EVIDENCE_CODEC_H_
#define SOURCE_CORE_DIAGNOSIS_EVIDENCE_CODEC_H_

#include <json/value.h>

#include <cstddef>
#include <vector>

#include "Core/Common/result.h"
#include "Core/Diagnosis/observation.h"

namespace daisyroad {

// Encodes observations as a JSON array of objects, newest first, and stops
// before the text would exceed `max_bytes`. Times are encoded as ages in
// milliseconds, because clocks are never compared between instances.
Json::Value EvidenceToJson(const std::vector<Observation>& observations,
                           MonotonicTime now,
                           std::size_t max_bytes);

// Decodes observations; `now` is the time at which the message was received.
// Returns kInvalidArgument if `list` is not an array or contains a malformed
// observation. Skips observations of unknown kinds, because an instance with a
// newer version may send them.
Result<std::vector<Observation>> EvidenceFromJson(const Json::Value& list,
                                                  MonotonicTime now);

}  // namespace daisyroad

#endif  // SOURCE_CORE_DIAGNOSIS_EVIDENCE_CODEC_H_
