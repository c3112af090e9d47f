#ifndef SOURCE_CTL_LOST_ANSWER_H_
#define SOURCE_CTL_LOST_ANSWER_H_

#include <cstdint>
#include <functional>
#include <string>

#include "Ctl/call_outcome.h"

namespace daisyroad {

// These functions determine the outcome of a write whose response was lost by
// reading the state of the site. The write is never sent again. They poll for
// the time limit of one request, because the server may carry out the write
// after the client has stopped waiting for the response. If they find no result
// in that time, they return `unknown_outcome`.

// For a write of the declaration `text` based on version `base_version`. If the
// version that follows `base_version` has another text, another change was
// accepted first and the outcome is kConflict.
CallOutcome ReadBackDeclaration(const CommandContext& context,
                                std::uint64_t base_version,
                                const std::string& text,
                                const CallOutcome& unknown_outcome);

// For a write whose effect is visible in the response to GET `path`.
// `shows_effect` tests the body of that response.
CallOutcome ReadBackEffect(
    const CommandContext& context,
    const std::string& path,
    const std::function<bool(const Json::Value&)>& shows_effect,
    const CallOutcome& unknown_outcome);

}  // namespace daisyroad

#endif  // SOURCE_CTL_LOST_ANSWER_H_
