#ifndef SOURCE_CORE_DECLARATION_DIFF_DECLARATIONS_H_
#define SOURCE_CORE_DECLARATION_DIFF_DECLARATIONS_H_

#include <json/value.h>

#include <string>
#include <vector>

#include "Core/Declaration/declaration.h"
#include "Core/Declaration/declaration_change.h"

namespace daisyroad {

// Returns the changes in the order of the new declaration, followed by removed
// items in the order of the old one. A change is risky if it lowers a limit,
// shrinks a pool in total or in one zone, tightens a budget or removes an item.
std::vector<DeclarationChange> DiffDeclarations(const Declaration& before,
                                                const Declaration& after);

// Formats one line per change: "~ teams.frost.share: 4 -> 6", "+ teams.frost",
// "- teams.frost"; a risky line ends in " [risky: REASON]".
std::string DiffText(const std::vector<DeclarationChange>& changes);

// Returns an array of {kind, item, field, old, new, risk}.
Json::Value DiffJson(const std::vector<DeclarationChange>& changes);

// Formats "3 changes: 1 added, 0 removed, 2 changed; 1 risky", followed by one
// line per risky change.
std::string DiffSummary(const std::vector<DeclarationChange>& changes);

}  // namespace daisyroad

#endif  // SOURCE_CORE_DECLARATION_DIFF_DECLARATIONS_H_
