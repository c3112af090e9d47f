#ifndef SOURCE_CORE_DECLARATION_DECLARATION_VALIDATOR_H_
#define SOURCE_CORE_DECLARATION_DECLARATION_VALIDATOR_H_

#include "Core/Declaration/declaration.h"
#include "Core/Declaration/fault_list.h"

namespace daisyroad {

// Checks what spans several fields: duplicate names, references to undeclared
// names, dependency cycles and limits between items.
void ValidateDeclaration(const Declaration& declaration, FaultList& faults);

}  // namespace daisyroad

#endif  // SOURCE_CORE_DECLARATION_DECLARATION_VALIDATOR_H_
