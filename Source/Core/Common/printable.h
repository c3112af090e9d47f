#ifndef SOURCE_CORE_COMMON_PRINTABLE_H_
#define SOURCE_CORE_COMMON_PRINTABLE_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace daisyroad {

// Maximum size of the text that Printable() returns, in bytes.
inline constexpr std::size_t kMaxPrintableBytes = 400;

// Returns text from outside as it may stand in a log line: bytes other than
// visible ASCII characters and spaces are written as \xNN, and a long text is
// cut.
std::string Printable(std::string_view text);

}  // namespace daisyroad

#endif  // SOURCE_CORE_COMMON_PRINTABLE_H_
