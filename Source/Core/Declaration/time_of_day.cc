#include "Core/Declaration/time_of_day.h"

namespace daisyroad {

namespace {

bool IsDigit(char c) {
  return c >= '0' && c <= '9';
}

std::string TwoDigits(int number) {
  return {static_cast<char>('0' + number / 10),
          static_cast<char>('0' + number % 10)};
}

}  // namespace

std::optional<std::chrono::minutes> ParseTimeOfDay(std::string_view text) {
  if (text.size() != 5 || text[2] != ':' || !IsDigit(text[0]) ||
      !IsDigit(text[1]) || !IsDigit(text[3]) || !IsDigit(text[4])) {
    return std::nullopt;
  }
  const int hours = (text[0] - '0') * 10 + (text[1] - '0');
  const int minutes = (text[3] - '0') * 10 + (text[4] - '0');
  if (hours > 23 || minutes > 59) {
    return std::nullopt;
  }
  return std::chrono::minutes(hours * 60 + minutes);
}

std::string FormatTimeOfDay(std::chrono::minutes time) {
  const int total = static_cast<int>(time.count());
  return TwoDigits(total / 60) + ":" + TwoDigits(total % 60);
}

}  // namespace daisyroad
