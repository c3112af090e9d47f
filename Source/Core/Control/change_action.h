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

// Store each missing part under its ControlPartKey, then write the head by
// compare-and-swap against `expected_version` (0: create if absent). Pass the
// outcome to ChangeAcceptance::OnWriteAnswered. Writing the ControlHistoryKey
// afterwards is optional; nothing depends on it.
struct WriteVersion {
  std::uint64_t expected_version = 0;
  ControlHead head;
  std::map<PartDigest, std::string> parts;
};

// Read the head from the store and pass it to OnHeadRead. If the read fails,
// retry after a pause.
struct ReadHeadBack {};

// Send a request to each of these members, in addition to the regular gossip,
// and pass the replies to PeerContacts. By gossip alone an instance hears from
// 12 random peers in 3 s, which is too few to accept a change at 50 instances.
struct AskMembers {
  std::set<EntryName> members;
};

// Wait until the replica has at least this version, then call OnDocument.
struct CatchUp {
  std::uint64_t version = 0;
};

// Report that the write has taken effect. Some instances may still act on the
// previous version.
struct TellWritten {
  std::uint64_t version = 0;
};

// Report that the change is accepted: from kFreshness after now, no instance
// starts work under an older version.
struct TellAccepted {
  std::uint64_t version = 0;
};

// Report that the version is in force in this zone (PeerContacts::IsInForce).
struct TellInForce {
  ZoneName zone;
  std::uint64_t version = 0;
};

// Report that another change was written first and this one was not.
struct TellConflict {
  std::uint64_t winning_version = 0;
  ChangeId winning_change;
};

// Report that the change failed. Nothing was written, unless the error code is
// kTimeout: then it is unknown whether the change was written.
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
