#ifndef SOURCE_CORE_OVERLOAD_STANDING_H_
#define SOURCE_CORE_OVERLOAD_STANDING_H_

namespace daisyroad {

// Standing of a job in its pool, in the order in which jobs get room.
enum class Standing {
  kOwed,      // its class of sizes has had too little
  kPressing,  // must go on now to meet its objective
  kInTime,
  kDelayed,  // will miss its objective, or gives way to others
  kPastUse,  // can no longer be of use to its caller
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_OVERLOAD_STANDING_H_
