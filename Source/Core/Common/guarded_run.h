#ifndef SOURCE_CORE_COMMON_GUARDED_RUN_H_
#define SOURCE_CORE_COMMON_GUARDED_RUN_H_

#include <functional>

namespace daisyroad {

// Runs the function and logs an exception that leaves it: one message that
// cannot be handled must not end the process. Returns false after an exception.
bool RunGuarded(const std::function<void()>& function);

}  // namespace daisyroad

#endif  // SOURCE_CORE_COMMON_GUARDED_RUN_H_
