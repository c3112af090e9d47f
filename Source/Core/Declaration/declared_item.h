#ifndef SOURCE_CORE_DECLARATION_DECLARED_ITEM_H_
#define SOURCE_CORE_DECLARATION_DECLARED_ITEM_H_

#include <string>
#include <utility>
#include <vector>

namespace daisyroad {

// One item of a declaration as a list of fields with TOML literals as values,
// in output order.
struct DeclaredItem {
  std::string section;  // "teams"; empty for the top level
  std::string name;     // empty for the top level and "maintenance"
  std::vector<std::pair<std::string, std::string>> fields;

  // Returns the literal, or an empty string if the item lacks the field.
  std::string Value(const std::string& field) const;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_DECLARATION_DECLARED_ITEM_H_
