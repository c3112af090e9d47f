#include "Core/Declaration/toml_document.h"

#include <algorithm>
#include <string>

// The library asserts conditions that bad input breaks ("[)" in 3.3), and with
// NDEBUG it tells the compiler to assume them, which is undefined behaviour.
// Its own checks after the assertions report the error, so they are disabled;
// this is the only translation unit that includes the library.
#undef NDEBUG
#define TOML_ASSERT(expr) static_assert(true)
#include <toml++/toml.h>

namespace daisyroad {

namespace {

// The TOML library recurses once for each level of a dotted key. It bounds the
// nesting of arrays to 256 but not the length of dotted keys, so a line of
// "a.a.a..." could exhaust the stack.
constexpr int kMaxDotsPerLine = 64;

// Length of the UTF-8 sequence at the start of `text`, or 0 if it is not valid
// (overlong forms, surrogates and values above U+10FFFF included).
std::size_t SequenceLength(std::string_view text) {
  const auto byte = [&](std::size_t i) -> unsigned {
    return i < text.size() ? static_cast<unsigned char>(text[i]) : 0U;
  };
  const auto continues = [&](std::size_t i) {
    return (byte(i) & 0xC0U) == 0x80U;
  };
  const unsigned first = byte(0);
  if (first < 0x80U) {
    return 1;
  }
  if (first >= 0xC2U && first <= 0xDFU) {
    return continues(1) ? 2 : 0;
  }
  if (first >= 0xE0U && first <= 0xEFU) {
    const bool overlong = first == 0xE0U && byte(1) < 0xA0U;
    const bool surrogate = first == 0xEDU && byte(1) > 0x9FU;
    return !overlong && !surrogate && continues(1) && continues(2) ? 3 : 0;
  }
  if (first >= 0xF0U && first <= 0xF4U) {
    const bool overlong = first == 0xF0U && byte(1) < 0x90U;
    const bool too_large = first == 0xF4U && byte(1) > 0x8FU;
    return !overlong && !too_large && continues(1) && continues(2) &&
                   continues(3)
               ? 4
               : 0;
  }
  return 0;
}

bool CheckBytes(std::string_view text, FaultList& faults) {
  int line = 1;
  int dots = 0;
  for (std::size_t i = 0; i < text.size();) {
    const std::size_t length = SequenceLength(text.substr(i));
    if (length == 0) {
      faults.AddAt(line, "", "is not valid UTF-8");
      return false;
    }
    dots += text[i] == '.' ? 1 : 0;
    if (dots > kMaxDotsPerLine) {
      faults.AddAt(line, "", "has more than 64 dots on one line");
      return false;
    }
    if (text[i] == '\n') {
      ++line;
      dots = 0;
    }
    i += length;
  }
  return true;
}

TomlValue Convert(const toml::node& node);

TomlValue::Table ConvertTable(const toml::table& source) {
  TomlValue::Table table;
  for (const auto& [key, node] : source) {
    TomlValue value = Convert(node);
    // An array of tables has no line of its own; its key has.
    if (!node.is_table()) {
      value.line = std::max(1, static_cast<int>(key.source().begin.line));
    }
    table.emplace(std::string(key.str()), std::move(value));
  }
  return table;
}

TomlValue Convert(const toml::node& node) {
  TomlValue result;
  result.line = std::max(1, static_cast<int>(node.source().begin.line));
  if (const toml::table* table = node.as_table()) {
    result.value = ConvertTable(*table);
  } else if (const toml::array* array = node.as_array()) {
    TomlValue::Array items;
    for (const toml::node& item : *array) {
      items.push_back(Convert(item));
    }
    result.value = std::move(items);
  } else if (const toml::value<std::string>* text = node.as_string()) {
    result.value = text->get();
  } else if (const toml::value<std::int64_t>* whole = node.as_integer()) {
    result.value = whole->get();
  } else if (const toml::value<double>* real = node.as_floating_point()) {
    result.value = real->get();
  } else if (const toml::value<bool>* flag = node.as_boolean()) {
    result.value = flag->get();
  }
  return result;
}

}  // namespace

std::optional<TomlValue> ParseToml(std::string_view text, FaultList& faults) {
  if (text.size() > kMaxTomlBytes) {
    faults.AddAt(
        0, "",
        "is larger than 1 MB (" + std::to_string(text.size()) + " bytes)");
    return std::nullopt;
  }
  if (!CheckBytes(text, faults)) {
    return std::nullopt;
  }
  try {
    return Convert(toml::parse(text));
  } catch (const toml::parse_error& error) {
    faults.AddAt(static_cast<int>(error.source().begin.line), "",
                 std::string(error.description()));
    return std::nullopt;
  }
}

}  // namespace daisyroad
