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

// Entry instances, by incarnation, that take part in the control rules. The
// members before the last change are kept, because an instance that has not
// seen that change still counts them.
struct Roster {
  RosterMembers members;
  RosterMembers previous;

  Json::Value ToJson() const;
  static Result<Roster> FromJson(const Json::Value& value);

  friend bool operator==(const Roster&, const Roster&) = default;
};

// True if `supporters` hold more than half of the members and one of every
// zone: the condition of `store_outage`.
bool SupportsOutage(const RosterMembers& members,
                    const std::set<EntryName>& supporters);

// True if no set that meets SupportsOutage can be found outside `informed`:
// it holds a majority, or every member of some zone, both of the current and of
// the previous members.
bool ExcludesOutage(const Roster& roster, const std::set<EntryName>& informed);

}  // namespace daisyroad

#endif  // SOURCE_CORE_CONTROL_ROSTER_H_
