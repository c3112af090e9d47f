#ifndef SOURCE_CORE_PLATFORM_BASE64_H_
#define SOURCE_CORE_PLATFORM_BASE64_H_

#include <string>
#include <string_view>

namespace daisyroad {

std::string EncodeBase64(std::string_view data);
// False if the text is not base64 with padding.
bool DecodeBase64(std::string_view text, std::string* data);

}  // namespace daisyroad

#endif  // SOURCE_CORE_PLATFORM_BASE64_H_
