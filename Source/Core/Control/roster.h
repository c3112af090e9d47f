#ifndef SOURCE_CORE_CONTROL_ROSTER_H_
#define SOURCE_CORE_CONTROL_ROSTER_H_

#include <json/value.h>

#include <map>
#include <set>
#include <string>

#include "Core/Common/identifiers.h"
#include "Core/Common/result.h"

namespace daisyroad {

struct RosterMember {
  EntryName name;
  ZoneName zone;
  std::string address;  // IP:PORT

  friend bool operator==(const RosterMember&, const RosterMember&) = default;
};

using RosterMembers = std::map<EntryName, RosterMember>;

// Entry instances, each identified by its incarnation, that are counted when a
// change is accepted or a store outage is assessed. The members before the last
// roster change are kept, because an instance that has not seen that change
// still counts them.
struct Roster {
  RosterMembers members;
  RosterMembers previous;

  Json::Value ToJson() const;
  static Result<Roster> FromJson(const Json::Value& value);

  friend bool operator==(const Roster&, const Roster&) = default;
};

// True if `supporters` contain more than half of the members and at least one
// member of every zone. This is the condition for the state `store_outage`.
bool SupportsOutage(const RosterMembers& members,
                    const std::set<EntryName>& supporters);

// True if no set of members outside `informed` can meet SupportsOutage, neither
// of the current nor of the previous members: `informed` contains a majority of
// them, or every member of some zone.
bool ExcludesOutage(const Roster& roster, const std::set<EntryName>& informed);

}  // namespace daisyroad

#endif  // SOURCE_CORE_CONTROL_ROSTER_H_
