#include "Core/Common/logging.h"

namespace daisyroad {

// settings.h and all_settings.cc rely on these values without the enumerators.
static_assert(static_cast<int>(LogLevel::kDebug) == 0);
static_assert(static_cast<int>(LogLevel::kInfo) == 1);
static_assert(static_cast<int>(LogLevel::kWarning) == 2);
static_assert(static_cast<int>(LogLevel::kError) == 3);

}  // namespace daisyroad
