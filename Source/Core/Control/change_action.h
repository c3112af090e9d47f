#ifndef SOURCE_CORE_CONTROL_CHANGE_ACTION_H_
#define SOURCE_CORE_CONTROL_CHANGE_ACTION_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <variant>

#include "Core/Common/error.h"
#include "Core/Common/identifiers.h"
#include "Core/Control/control_head.h"

namespace daisyroad {

// Put the parts that are absent under ControlPartKey, then the head by
// compare-and-swap against `expected_version` (0: create if absent). Answer
// with ChangeAcceptance::OnWriteAnswered. ControlHistoryKey may be put
// afterwards; nothing depends on it.
struct WriteVersion {
  std::uint64_t expected_version = 0;
  ControlHead head;
  std::map<PartDigest, std::string> parts;
};

// Read the head from the store and pass it to OnHeadRead; on failure read again
// after a pause.
struct ReadHeadBack {};

// Send a request to each of these members and pass the replies to
// PeerContacts, besides the usual gossip. An instance hears 12 random others in
// 3 s by gossip, which at 50 instances is too few to accept a change.
struct AskMembers {
  std::set<EntryName> members;
};

// Bring the replica to this version, then call OnDocument.
struct CatchUp {
  std::uint64_t version = 0;
};

// The write is known to have taken effect, but some instances may still act on
// the version before.
struct TellWritten {
  std::uint64_t version = 0;
};

// No instance starts work under an older version later than kFreshness from
// now.
struct TellAccepted {
  std::uint64_t version = 0;
};

struct TellInForce {
  ZoneName zone;
  std::uint64_t version = 0;
};

// Another change won. Nothing was written.
struct TellConflict {
  std::uint64_t winning_version = 0;
  ChangeId winning_change;
};

// Nothing was written, unless the code is kTimeout: then the outcome is not
// known.
struct TellRefused {
  Error error;
};

using ChangeAction = std::variant<WriteVersion,
                                  ReadHeadBack,
                                  AskMembers,
                                  CatchUp,
                                  TellWritten,
                                  TellAccepted,
                                  TellInForce,
                                  TellConflict,
                                  TellRefused>;

}  // namespace daisyroad

#endif  // SOURCE_CORE_CONTROL_CHANGE_ACTION_H_
