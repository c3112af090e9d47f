#ifndef SOURCE_CORE_DECLARATION_PARSE_DECLARATION_H_
#define SOURCE_CORE_DECLARATION_PARSE_DECLARATION_H_

#include <optional>
#include <string>
#include <string_view>

#include "Core/Common/result.h"
#include "Core/Declaration/declaration.h"

namespace daisyroad {

class FaultList;

// Parses and validates the TOML text of a declaration. On failure, the detail
// of the error (kInvalidArgument) has one line per problem, in file order:
// "FILE:LINE: FIELD: PROBLEM". `file_name` is only used in these lines.
Result<Declaration> ParseDeclaration(std::string_view text,
                                     const std::string& file_name);

// The same, but adds the problems to `faults`, which also gets the lines of all
// fields. Returns nothing if there is a problem.
std::optional<Declaration> ReadDeclaration(std::string_view text,
                                           FaultList& faults);

}  // namespace daisyroad

#endif  // SOURCE_CORE_DECLARATION_PARSE_DECLARATION_H_
