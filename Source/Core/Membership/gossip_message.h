#ifndef SOURCE_CORE_MEMBERSHIP_GOSSIP_MESSAGE_H_
#define SOURCE_CORE_MEMBERSHIP_GOSSIP_MESSAGE_H_

#include <json/value.h>

#include <vector>

#include "Core/Common/result.h"
#include "Core/Control/control_document.h"
#include "Core/Control/peer_report.h"
#include "Core/Membership/member_info.h"

namespace daisyroad {

// A request or a reply of a gossip exchange between two instances.
struct GossipMessage {
  MemberInfo sender;
  PeerReport control;
  std::vector<MemberInfo> updates;
  // The sender knows few members yet and requests the full list in the reply.
  bool wants_all = false;
};

// `document` is used as in PeerReportToJson.
Json::Value GossipMessageToJson(const GossipMessage& message,
                                const ControlDocument& document);
Result<GossipMessage> GossipMessageFromJson(const Json::Value& value,
                                            const ControlDocument& document);

}  // namespace daisyroad

#endif  // SOURCE_CORE_MEMBERSHIP_GOSSIP_MESSAGE_H_
