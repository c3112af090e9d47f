#ifndef SOURCE_CTL_LOST_ANSWER_H_
#define SOURCE_CTL_LOST_ANSWER_H_

#include <cstdint>
#include <functional>
#include <string>

#include "Ctl/call_outcome.h"

namespace daisyroad {

// Reads back the outcome of a write whose answer was lost; the write is never
// sent again. All of these try for the time limit of one request, since a write
// may be carried out after its answer was given up.

// Declaration `text` written on top of version `base`. A version after `base`
// with another text means that another change won.
CallOutcome ReadBackDeclaration(const CommandContext& context,
                                std::uint64_t base,
                                const std::string& text,
                                const CallOutcome& lost);

// A write whose effect shows in the answer to GET `path`.
CallOutcome ReadBackEffect(
    const CommandContext& context,
    const std::string& path,
    const std::function<bool(const Json::Value&)>& shows_effect,
    const CallOutcome& lost);

}  // namespace daisyroad

#endif  // SOURCE_CTL_LOST_ANSWER_H_
