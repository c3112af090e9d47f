#ifndef SOURCE_CORE_DECLARATION_WRITE_DECLARATION_H_
#define SOURCE_CORE_DECLARATION_WRITE_DECLARATION_H_

#include <string>
#include <vector>

#include "Core/Declaration/declaration.h"
#include "Core/Declaration/declared_item.h"

namespace daisyroad {

// All items with every field, defaults included.
std::vector<DeclaredItem> ListItems(const Declaration& declaration);

// TOML text that ParseDeclaration reads back to an equal declaration.
std::string WriteDeclaration(const Declaration& declaration);

}  // namespace daisyroad

#endif  // SOURCE_CORE_DECLARATION_WRITE_DECLARATION_H_
