#ifndef SOURCE_CORE_MEMBERSHIP_MEMBER_TABLE_H_
#define SOURCE_CORE_MEMBERSHIP_MEMBER_TABLE_H_

#include <map>
#include <optional>
#include <vector>

#include "Core/Common/time.h"
#include "Core/Membership/member_info.h"

namespace daisyroad {

// How a member answers this instance; evidence for the diagnosis.
enum class Reachability {
  kDirect,
  // Others reach it and this instance does not: a cut and not a crash.
  kThroughOthers,
  kNone
};

struct Member {
  MemberInfo info;
  Reachability reachability = Reachability::kDirect;
  MonotonicTime since;  // of the state
};

// Entry instances as this one knows them, itself included.
class MemberTable {
 public:
  // A suspect that does not refute is removed 5 s after its first unanswered
  // request, which was 1.5 s before the suspicion.
  static constexpr Milliseconds kSuspectTime{3500};
  // A removed member stays listed so that late messages do not revive it.
  static constexpr Milliseconds kRemovedTime{60000};

  explicit MemberTable(MemberInfo self);

  // Takes over a statement if it is newer by incarnation or, within one, worse
  // (removed over suspect over alive). A statement against this instance raises
  // the own incarnation. Returns whether the table changed.
  bool Merge(const MemberInfo& statement, MonotonicTime now);
  void SetReachability(const EntryName& name, Reachability reachability);
  // Removes suspects and forgets removed members when their time is over;
  // returns the newly removed ones.
  std::vector<MemberInfo> Expire(MonotonicTime now);

  const MemberInfo& self() const;
  const std::map<EntryName, Member>& members() const { return this->table; }
  const Member* Find(const EntryName& name) const;
  // Members that are alive or suspect, this instance included.
  std::vector<EntryName> Live() const;
  std::vector<EntryName> LiveInZone(const ZoneName& zone) const;

 private:
  EntryName own_name;
  std::map<EntryName, Member> table;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_MEMBERSHIP_MEMBER_TABLE_H_
