#ifndef SOURCE_CORE_DIAGNOSIS_PEER_MESSAGE_H_
#define SOURCE_CORE_DIAGNOSIS_PEER_MESSAGE_H_

#include "Core/Common/identifiers.h"

namespace daisyroad {

enum class MessageFate {
  kAnswered,    // the reply arrived in time
  kLate,        // the reply arrived after the timeout
  kUnanswered,  // no reply; either direction may be cut
  kArrived      // reported by the receiver: this direction works
};

// A request between entry instances, sent from zone `from` to zone `to`.
struct PeerMessage {
  EntryName observer;
  EntryName peer;
  ZoneName from;
  ZoneName to;
  MessageFate fate = MessageFate::kAnswered;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_DIAGNOSIS_PEER_MESSAGE_H_
