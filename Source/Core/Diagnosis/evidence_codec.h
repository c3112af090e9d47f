#ifndef SOURCE_CORE_DIAGNOSIS_EVIDENCE_CODEC_H_
#define SOURCE_CORE_DIAGNOSIS_EVIDENCE_CODEC_H_

#include <json/value.h>

#include <cstddef>
#include <vector>

#include "Core/Common/result.h"
#include "Core/Diagnosis/observation.h"

namespace daisyroad {

// Observations as an array of JSON objects, newest first, cut off before
// `max_bytes` would be exceeded. Times are sent as ages in milliseconds, since
// clocks are never compared between instances.
Json::Value EvidenceToJson(const std::vector<Observation>& observations,
                           MonotonicTime now,
                           std::size_t max_bytes);

// `now` is the time at which the message was received. kInvalidArgument if the
// text is no array or holds a malformed observation; observations of unknown
// kinds are left out, since a newer instance may send them.
Result<std::vector<Observation>> EvidenceFromJson(const Json::Value& list,
                                                  MonotonicTime now);

}  // namespace daisyroad

#endif  // SOURCE_CORE_DIAGNOSIS_EVIDENCE_CODEC_H_
