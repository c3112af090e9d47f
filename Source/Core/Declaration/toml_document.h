#ifndef SOURCE_CORE_DECLARATION_TOML_DOCUMENT_H_
#define SOURCE_CORE_DECLARATION_TOML_DOCUMENT_H_

#include <optional>
#include <string_view>

#include "Core/Declaration/fault_list.h"
#include "Core/Declaration/toml_value.h"

namespace daisyroad {

// The store holds values up to 1 MB, and a declaration is one value.
inline constexpr std::size_t kMaxTomlBytes = 1'000'000;

// Parses a TOML text into a root table. Checks size, UTF-8 and syntax; a fault
// is added to `faults` and nothing returned. Syntax errors stop at the first.
std::optional<TomlValue> ParseToml(std::string_view text, FaultList& faults);

}  // namespace daisyroad

#endif  // SOURCE_CORE_DECLARATION_TOML_DOCUMENT_H_
