#ifndef SOURCE_CORE_MEMBERSHIP_MEMBER_INFO_H_
#define SOURCE_CORE_MEMBERSHIP_MEMBER_INFO_H_

#include <cstdint>
#include <string>

#include "Core/Common/identifiers.h"

namespace daisyroad {

enum class MemberState { kAlive, kSuspect, kRemoved };
// "alive", "suspect" or "removed".
const char* MemberStateName(MemberState state);

// The state of one entry instance, as carried in gossip messages.
struct MemberInfo {
  EntryName name;
  ZoneName zone;
  std::string address;  // IP:PORT
  // Increased only by the instance itself, to refute a suspicion.
  std::uint64_t incarnation = 0;
  MemberState state = MemberState::kAlive;

  friend bool operator==(const MemberInfo&, const MemberInfo&) = default;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_MEMBERSHIP_MEMBER_INFO_H_
