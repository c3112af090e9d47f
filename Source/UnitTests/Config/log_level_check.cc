#include "Core/Common/logging.h"

namespace daisyroad {

// Settings knows the levels by value only; guards against a change of order.
static_assert(static_cast<int>(LogLevel::kDebug) == 0);
static_assert(static_cast<int>(LogLevel::kInfo) == 1);
static_assert(static_cast<int>(LogLevel::kWarning) == 2);
static_assert(static_cast<int>(LogLevel::kError) == 3);

}  // namespace daisyroad
