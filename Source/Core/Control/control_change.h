#ifndef SOURCE_CORE_CONTROL_CONTROL_CHANGE_H_
#define SOURCE_CORE_CONTROL_CONTROL_CHANGE_H_

#include <string>
#include <variant>

#include "Core/Common/identifiers.h"
#include "Core/Common/result.h"
#include "Core/Control/control_document.h"

namespace daisyroad {

struct ApplyDeclaration {
  std::string text;
};

struct GiveKey {
  KeyRecord record;
};

struct WithdrawKey {
  KeyId id;
};

struct TakeZoneOut {
  ZoneName zone;
};

struct TakeZoneIn {
  ZoneName zone;
};

struct RosterJoin {
  RosterMember member;
};

struct RosterLeave {
  EntryName name;
};

using ControlChange = std::variant<ApplyDeclaration,
                                   GiveKey,
                                   WithdrawKey,
                                   TakeZoneOut,
                                   TakeZoneIn,
                                   RosterJoin,
                                   RosterLeave>;

// Returns the next version of the document. Fails with kConflict if a key or
// member to be added exists, and with kNotFound if one to be removed does not.
Result<ControlDocument> ApplyChange(const ControlDocument& base,
                                    const ControlChange& change,
                                    const ChangeId& id);

// A short description for logs and operators, without secrets.
std::string DescribeChange(const ControlChange& change);

bool ChangesRoster(const ControlChange& change);

// True if the change has the same meaning on any base version, so that it is
// applied again after a conflict. False for a declaration, which was reviewed
// against one base version.
bool IsReappliedOnConflict(const ControlChange& change);

}  // namespace daisyroad

#endif  // SOURCE_CORE_CONTROL_CONTROL_CHANGE_H_
