#include "Core/Common/error.h"

namespace daisyroad {

std::string Error::ToString() const {
  std::string text = this->step;
  if (!this->peer.empty()) {
    text += " at " + this->peer;
  }
  text += ": " + this->code.message();
  if (!this->detail.empty()) {
    text += ": " + this->detail;
  }
  return text;
}

}  // namespace daisyroad
