#include "Core/Declaration/duration_text.h"

#include <array>
#include <charconv>
#include <chrono>
#include <cstdint>

namespace daisyroad {

namespace {

struct Unit {
  std::string_view name;
  Milliseconds length;
};

constexpr std::array<Unit, 5> kUnits = {{{"d", std::chrono::hours(24)},
                                         {"h", std::chrono::hours(1)},
                                         {"min", std::chrono::minutes(1)},
                                         {"s", std::chrono::seconds(1)},
                                         {"ms", Milliseconds(1)}}};

// Keeps sums and products of declared durations far below overflow.
constexpr Milliseconds kMaxDuration = std::chrono::hours(24 * 3650);

}  // namespace

std::optional<Milliseconds> ParseDuration(std::string_view text) {
  std::uint64_t count = 0;
  const char* end = text.data() + text.size();
  const std::from_chars_result parsed =
      std::from_chars(text.data(), end, count);
  if (parsed.ec != std::errc()) {
    return std::nullopt;
  }
  const std::string_view unit(parsed.ptr,
                              static_cast<std::size_t>(end - parsed.ptr));
  for (const Unit& candidate : kUnits) {
    if (candidate.name == unit &&
        count <= static_cast<std::uint64_t>(kMaxDuration / candidate.length)) {
      return candidate.length * static_cast<std::int64_t>(count);
    }
  }
  return std::nullopt;
}

std::string FormatDuration(Milliseconds time) {
  if (time.count() == 0) {
    return "0ms";
  }
  for (const Unit& unit : kUnits) {
    if (time % unit.length == Milliseconds(0)) {
      return std::to_string(time / unit.length) + std::string(unit.name);
    }
  }
  return std::to_string(time.count()) + "ms";
}

}  // namespace daisyroad
