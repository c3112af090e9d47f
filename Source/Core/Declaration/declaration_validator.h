#ifndef SOURCE_CORE_DECLARATION_DECLARATION_VALIDATOR_H_
#define SOURCE_CORE_DECLARATION_DECLARATION_VALIDATOR_H_

#include "Core/Declaration/declaration.h"
#include "Core/Declaration/fault_list.h"

namespace daisyroad {

// Checks constraints that span several fields: unique names, references to
// declared names, no dependency cycles and at most one spare pool.
void ValidateDeclaration(const Declaration& declaration, FaultList& faults);

}  // namespace daisyroad

#endif  // SOURCE_CORE_DECLARATION_DECLARATION_VALIDATOR_H_
