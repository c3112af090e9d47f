#include "Core/Common/guarded_run.h"

#include <exception>

#include "Core/Common/logging.h"
#include "Core/Common/printable.h"

namespace daisyroad {

bool RunGuarded(const std::function<void()>& function) {
  try {
    function();
    return true;
  } catch (const std::exception& exception) {
    CLOG(ERROR, kDaemonLog) << "event=unexpected_error error=\""
                            << Printable(exception.what()) << "\"";
    return false;
  }
}

}  // namespace daisyroad
