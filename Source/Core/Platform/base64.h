#ifndef SOURCE_CORE_PLATFORM_BASE64_H_
#define SOURCE_CORE_PLATFORM_BASE64_H_

#include <string>
#include <string_view>

namespace daisyroad {

std::string EncodeBase64(std::string_view data);
// Returns false if `text` is not padded Base64.
bool DecodeBase64(std::string_view text, std::string* data);

}  // namespace daisyroad

#endif  // SOURCE_CORE_PLATFORM_BASE64_H_
