#ifndef SOURCE_CORE_DIAGNOSIS_PEER_MESSAGE_H_
#define SOURCE_CORE_DIAGNOSIS_PEER_MESSAGE_H_

#include "Core/Common/identifiers.h"

namespace daisyroad {

enum class MessageFate {
  kAnswered,    // the reply came in time
  kLate,        // the reply came after its bound
  kUnanswered,  // no reply came; either direction may be cut
  kArrived      // seen by the receiver: this direction works
};

// A request between entry instances; it travels from `from` to `to`.
struct PeerMessage {
  EntryName observer;
  EntryName peer;
  ZoneName from;
  ZoneName to;
  MessageFate fate = MessageFate::kAnswered;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_DIAGNOSIS_PEER_MESSAGE_H_
