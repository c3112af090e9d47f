#ifndef SOURCE_CORE_COMMON_ERROR_CODE_H_
#define SOURCE_CORE_COMMON_ERROR_CODE_H_

#include <system_error>

namespace daisyroad {

// Failures that callers distinguish. Values are stable: they appear in logs and
// in RPC responses between instances.
enum class Errc {
  kNotFound = 1,
  kConflict = 2,
  kTimeout = 3,
  kUnavailable = 4,
  kInvalidArgument = 5,
  kUnauthorized = 6,
  kForbidden = 7,
  kResourceExhausted = 8,
  kCancelled = 9,
  kProtocol = 10,
  kInternal = 11,
};

const std::error_category& DaisyroadCategory();
std::error_code make_error_code(Errc code);

}  // namespace daisyroad

template <>
struct std::is_error_code_enum<daisyroad::Errc> : std::true_type {};

#endif  // SOURCE_CORE_COMMON_ERROR_CODE_H_
