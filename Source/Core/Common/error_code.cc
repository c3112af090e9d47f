#include "Core/Common/error_code.h"

#include <string>

namespace daisyroad {
namespace {

class ErrorCategory : public std::error_category {
 public:
  const char* name() const noexcept override { return "daisyroad"; }

  std::string message(int value) const override {
    switch (static_cast<Errc>(value)) {
      case Errc::kNotFound:
        return "not found";
      case Errc::kConflict:
        return "conflict";
      case Errc::kTimeout:
        return "timeout";
      case Errc::kUnavailable:
        return "unavailable";
      case Errc::kInvalidArgument:
        return "invalid argument";
      case Errc::kUnauthorized:
        return "unauthorized";
      case Errc::kForbidden:
        return "forbidden";
      case Errc::kResourceExhausted:
        return "resource exhausted";
      case Errc::kCancelled:
        return "cancelled";
      case Errc::kProtocol:
        return "protocol error";
      case Errc::kInternal:
        return "internal error";
    }
    return "unknown error";
  }
};

}  // namespace

const std::error_category& DaisyroadCategory() {
  static const ErrorCategory kCategory;
  return kCategory;
}

std::error_code make_error_code(Errc code) {
  return {static_cast<int>(code), DaisyroadCategory()};
}

}  // namespace daisyroad
