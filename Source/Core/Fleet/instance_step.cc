#include "Core/Fleet/instance_step.h"

#include <array>
#include <cstddef>

namespace daisyroad {
namespace {

constexpr std::array<const char*, 7> kStepNames = {
    "in_service", "requested", "draining",   "drained",
    "rebooting",  "returned",  "handed_over"};

}  // namespace

std::string ToString(InstanceStep step) {
  return kStepNames.at(static_cast<std::size_t>(step));
}

Result<InstanceStep> ParseInstanceStep(const std::string& text) {
  for (std::size_t i = 0; i < kStepNames.size(); ++i) {
    if (text == kStepNames.at(i)) {
      return static_cast<InstanceStep>(i);
    }
  }
  return Error{Errc::kInvalidArgument, "instance.step", "",
               "unknown step \"" + text + "\""};
}

}  // namespace daisyroad
