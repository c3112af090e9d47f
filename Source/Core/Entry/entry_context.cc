#include "Core/Entry/entry_context.h"

namespace daisyroad {

MonotonicTime Now() {
  return std::chrono::steady_clock::now();
}

}  // namespace daisyroad
