#ifndef SOURCE_CORE_DECLARATION_WRITE_DECLARATION_H_
#define SOURCE_CORE_DECLARATION_WRITE_DECLARATION_H_

#include <string>
#include <vector>

#include "Core/Declaration/declaration.h"
#include "Core/Declaration/declared_item.h"

namespace daisyroad {

// Returns all items with every field, including defaults.
std::vector<DeclaredItem> ListItems(const Declaration& declaration);

// Returns TOML text that ParseDeclaration parses to an equal declaration.
std::string WriteDeclaration(const Declaration& declaration);

}  // namespace daisyroad

#endif  // SOURCE_CORE_DECLARATION_WRITE_DECLARATION_H_
