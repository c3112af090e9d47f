#ifndef SOURCE_CORE_DECLARATION_TOML_DOCUMENT_H_
#define SOURCE_CORE_DECLARATION_TOML_DOCUMENT_H_

#include <optional>
#include <string_view>

#include "Core/Declaration/fault_list.h"
#include "Core/Declaration/toml_value.h"

namespace daisyroad {

// A declaration is stored as one value, and the store accepts up to 1 MB.
inline constexpr std::size_t kMaxTomlBytes = 1'000'000;

// Parses TOML text into its root table. If size, UTF-8 encoding or syntax is
// invalid, adds the first error to `faults` and returns nullopt.
std::optional<TomlValue> ParseToml(std::string_view text, FaultList& faults);

}  // namespace daisyroad

#endif  // SOURCE_CORE_DECLARATION_TOML_DOCUMENT_H_
