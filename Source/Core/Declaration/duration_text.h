#ifndef SOURCE_CORE_DECLARATION_DURATION_TEXT_H_
#define SOURCE_CORE_DECLARATION_DURATION_TEXT_H_

#include <optional>
#include <string>
#include <string_view>

#include "Core/Common/time.h"

namespace daisyroad {

// Parses an integer with a unit: "500ms", "3s", "10min", "2h", "49d". Returns
// nullopt if the text is malformed, negative or longer than 10 years.
std::optional<Milliseconds> ParseDuration(std::string_view text);

// Formats with the largest unit that divides the time, for ParseDuration.
std::string FormatDuration(Milliseconds time);

}  // namespace daisyroad

#endif  // SOURCE_CORE_DECLARATION_DURATION_TEXT_H_
