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

// The next version of the document. kConflict if a key or member exists,
// kNotFound if one to be removed does not.
Result<ControlDocument> ApplyChange(const ControlDocument& base,
                                    const ControlChange& change,
                                    const ChangeId& id);

// One short phrase for logs and operators; holds no secret.
std::string DescribeChange(const ControlChange& change);

bool ChangesRoster(const ControlChange& change);

// True if the change means the same on any base and may be applied again after
// another change won. A declaration was reviewed against one base, so it is
// not.
bool IsReappliedOnConflict(const ControlChange& change);

}  // namespace daisyroad

#endif  // SOURCE_CORE_CONTROL_CONTROL_CHANGE_H_
