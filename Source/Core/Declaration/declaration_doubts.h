#ifndef SOURCE_CORE_DECLARATION_DECLARATION_DOUBTS_H_
#define SOURCE_CORE_DECLARATION_DECLARATION_DOUBTS_H_

#include "Core/Declaration/declaration.h"
#include "Core/Declaration/fault_list.h"

namespace daisyroad {

// Add an entry for each part of a valid declaration that can have no effect, or
// whose limits contradict others.
void FindIneffectiveEntries(const Declaration& declaration, FaultList& found);
void FindConflictingLimits(const Declaration& declaration, FaultList& found);

}  // namespace daisyroad

#endif  // SOURCE_CORE_DECLARATION_DECLARATION_DOUBTS_H_
