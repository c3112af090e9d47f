#ifndef SOURCE_CORE_CONTROL_PEER_REPORT_CODEC_H_
#define SOURCE_CORE_CONTROL_PEER_REPORT_CODEC_H_

#include <json/value.h>

#include "Core/Common/result.h"
#include "Core/Control/control_document.h"
#include "Core/Control/peer_report.h"

namespace daisyroad {

// `document` is the version in force on this instance. `outage_support` is
// encoded as one character per roster member, in roster order, and is ignored
// unless both sides have the same roster epoch. Ages are rounded up to
// milliseconds, those in `outage_support` to 100 ms.
Json::Value PeerReportToJson(const PeerReport& report,
                             const ControlDocument& document);
Result<PeerReport> PeerReportFromJson(const Json::Value& value,
                                      const ControlDocument& document);

}  // namespace daisyroad

#endif  // SOURCE_CORE_CONTROL_PEER_REPORT_CODEC_H_
