#ifndef SOURCE_CORE_MEMBERSHIP_MEMBER_TABLE_H_
#define SOURCE_CORE_MEMBERSHIP_MEMBER_TABLE_H_

#include <map>
#include <optional>
#include <vector>

#include "Core/Common/time.h"
#include "Core/Membership/member_info.h"

namespace daisyroad {

// How this instance reaches a member; used as evidence for the diagnosis.
enum class Reachability {
  kDirect,
  // Other instances reach the member and this one does not, so the link is
  // broken and the member has not crashed.
  kIndirect,
  kNone
};

struct Member {
  MemberInfo info;
  Reachability reachability = Reachability::kDirect;
  MonotonicTime since;  // time of the last change of `info.state`
};

// Member states known to this instance, its own included.
class MemberTable {
 public:
  // A suspect that does not refute the suspicion is removed after this time.
  // Together with the 1.5 s from the first unanswered request to the suspicion
  // this makes 5 s.
  static constexpr Milliseconds kSuspicionTimeout{3500};
  // A removed member is kept for this time so that delayed messages do not add
  // it again.
  static constexpr Milliseconds kRemovedRetention{60000};

  explicit MemberTable(MemberInfo self);

  // Applies an update if its incarnation is higher or, for the same
  // incarnation, its state is worse (removed over suspect over alive). An
  // update that suspects or removes this instance is refuted with a higher own
  // incarnation. Returns whether the table changed.
  bool Merge(const MemberInfo& update, MonotonicTime now);
  void SetReachability(const EntryName& name, Reachability reachability);
  // Marks suspects as removed after kSuspicionTimeout and erases removed
  // members after kRemovedRetention. Returns the newly removed members.
  std::vector<MemberInfo> Expire(MonotonicTime now);

  const MemberInfo& self() const;
  const std::map<EntryName, Member>& members() const { return this->table; }
  const Member* Find(const EntryName& name) const;
  // Members that are alive or suspect, including this instance.
  std::vector<EntryName> Live() const;
  std::vector<EntryName> LiveInZone(const ZoneName& zone) const;

 private:
  EntryName own_name;
  std::map<EntryName, Member> table;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_MEMBERSHIP_MEMBER_TABLE_H_
