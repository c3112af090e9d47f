#ifndef SOURCE_CORE_COMMON_RESULT_H_
#define SOURCE_CORE_COMMON_RESULT_H_

#include <utility>
#include <variant>

#include "Core/Common/error.h"

namespace daisyroad {

// Either a value or an Error. Accessing the absent alternative throws
// std::bad_variant_access.
template <typename T>
class Result {
 public:
  Result(T value) : state(std::in_place_index<0>, std::move(value)) {}
  Result(Error error) : state(std::in_place_index<1>, std::move(error)) {}

  bool ok() const { return this->state.index() == 0; }
  explicit operator bool() const { return this->ok(); }

  const T& value() const& { return std::get<0>(this->state); }
  T& value() & { return std::get<0>(this->state); }
  T&& value() && { return std::get<0>(std::move(this->state)); }
  const Error& error() const { return std::get<1>(this->state); }

 private:
  std::variant<T, Error> state;
};

// Result of an operation that returns nothing on success.
using Status = Result<std::monostate>;

inline Status OkStatus() {
  return Status(std::monostate{});
}

}  // namespace daisyroad

#endif  // SOURCE_CORE_COMMON_RESULT_H_
