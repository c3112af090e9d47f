#ifndef SOURCE_CORE_DECLARATION_TOML_VALUE_H_
#define SOURCE_CORE_DECLARATION_TOML_VALUE_H_

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace daisyroad {

// A TOML value and its line number.
struct TomlValue {
  using Array = std::vector<TomlValue>;
  using Table = std::map<std::string, TomlValue>;
  // A date or time, which neither the declaration nor the settings use.
  struct Other {};

  std::variant<Other, bool, std::int64_t, double, std::string, Array, Table>
      value;
  int line = 1;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_DECLARATION_TOML_VALUE_H_
