#ifndef SOURCE_CORE_DECLARATION_DIFF_DECLARATIONS_H_
#define SOURCE_CORE_DECLARATION_DIFF_DECLARATIONS_H_

#include <json/value.h>

#include <string>
#include <vector>

#include "Core/Declaration/declaration.h"
#include "Core/Declaration/declaration_change.h"

namespace daisyroad {

// Changes in the order of the new declaration, then removed items in the order
// of the old one. Risky are: a limit lowered, a pool shrunk in total or in a
// zone, a budget tightened, an item removed.
std::vector<DeclarationChange> DiffDeclarations(const Declaration& before,
                                                const Declaration& after);

// One line for each change: "~ teams.frost.share: 4 -> 6", "+ teams.frost",
// "- teams.frost"; a risky line ends in " [risky: REASON]".
std::string DiffText(const std::vector<DeclarationChange>& changes);

// Array of {kind, item, field, old, new, risk}.
Json::Value DiffJson(const std::vector<DeclarationChange>& changes);

// "3 changes: 1 added, 0 removed, 2 changed; 1 risky", then a line for each
// risky change.
std::string DiffSummary(const std::vector<DeclarationChange>& changes);

}  // namespace daisyroad

#endif  // SOURCE_CORE_DECLARATION_DIFF_DECLARATIONS_H_
