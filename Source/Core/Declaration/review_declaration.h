#ifndef SOURCE_CORE_DECLARATION_REVIEW_DECLARATION_H_
#define SOURCE_CORE_DECLARATION_REVIEW_DECLARATION_H_

#include <string>
#include <string_view>

#include "Core/Declaration/declaration.h"

namespace daisyroad {

// What a review finds in the text of a declaration. The texts have one line for
// each finding, in file order: "FILE:LINE: FIELD: PROBLEM".
struct DeclarationReview {
  std::string faults;       // the declaration is not valid; the rest is empty
  std::string ineffective;  // entries that nothing can ever match
  std::string conflicts;    // limits that contradict each other
  std::string changes;      // against the declaration in force
};

// Reviews the text of a declaration before it is sent. `in_force` is null if
// the declaration in force is not known. `file_name` is only used in the texts.
DeclarationReview ReviewDeclaration(std::string_view text,
                                    const std::string& file_name,
                                    const Declaration* in_force);

}  // namespace daisyroad

#endif  // SOURCE_CORE_DECLARATION_REVIEW_DECLARATION_H_
