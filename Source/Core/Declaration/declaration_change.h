#ifndef SOURCE_CORE_DECLARATION_DECLARATION_CHANGE_H_
#define SOURCE_CORE_DECLARATION_DECLARATION_CHANGE_H_

#include <string>

namespace daisyroad {

enum class ChangeKind { kAdded, kRemoved, kChanged };

// One difference between two declarations. Values are TOML literals. `field` is
// empty for added and removed items; a value is empty if the field is absent.
struct DeclarationChange {
  ChangeKind kind = ChangeKind::kChanged;
  std::string item;  // "teams.frost", "maintenance", or empty for the top level
  std::string field;
  std::string old_value;
  std::string new_value;
  std::string risk;  // why the change is risky; empty if it is not
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_DECLARATION_DECLARATION_CHANGE_H_
