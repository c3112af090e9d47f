#ifndef SOURCE_CORE_COMMON_STRONG_STRING_H_
#define SOURCE_CORE_COMMON_STRONG_STRING_H_

#include <compare>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace daisyroad {

// A string with a distinct type for each kind of name, so that a team cannot be
// passed where a pool is expected.
template <typename Tag>
class StrongString {
 public:
  StrongString() = default;
  explicit StrongString(std::string text) : text(std::move(text)) {}

  const std::string& str() const { return this->text; }
  bool empty() const { return this->text.empty(); }

  // clang-tidy takes the zero in the generated comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const StrongString&, const StrongString&) = default;
  friend std::ostream& operator<<(std::ostream& out,
                                  const StrongString& value) {
    return out << value.text;
  }

 private:
  std::string text;
};

}  // namespace daisyroad

template <typename Tag>
struct std::hash<daisyroad::StrongString<Tag>> {
  std::size_t operator()(const daisyroad::StrongString<Tag>& value) const {
    return std::hash<std::string>()(value.str());
  }
};

#endif  // SOURCE_CORE_COMMON_STRONG_STRING_H_
