#ifndef SOURCE_CORE_DECLARATION_TIME_OF_DAY_H_
#define SOURCE_CORE_DECLARATION_TIME_OF_DAY_H_

#include <array>
#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace daisyroad {

// Indexed by std::chrono::weekday::c_encoding().
inline constexpr std::array<std::string_view, 7> kWeekdayNames = {
    "sunday",   "monday", "tuesday", "wednesday",
    "thursday", "friday", "saturday"};

// Parses "HH:MM", 00:00 to 23:59, as the time since midnight.
std::optional<std::chrono::minutes> ParseTimeOfDay(std::string_view text);
std::string FormatTimeOfDay(std::chrono::minutes time);

}  // namespace daisyroad

#endif  // SOURCE_CORE_DECLARATION_TIME_OF_DAY_H_
