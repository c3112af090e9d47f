#ifndef SOURCE_CORE_PLATFORM_STORE_CALL_CLASS_H_
#define SOURCE_CORE_PLATFORM_STORE_CALL_CLASS_H_

namespace daisyroad {

// What a call to the store is for, the most urgent first.
enum class StoreCallClass {
  kDuty,    // keeps or takes a duty; also notices that the store is back
  kCaller,  // somebody waits for the answer until a deadline
  kWrite,   // records what a holder of a duty has done
  kRead,    // reads or watches what is read regularly
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_PLATFORM_STORE_CALL_CLASS_H_
