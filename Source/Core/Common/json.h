#ifndef SOURCE_CORE_COMMON_JSON_H_
#define SOURCE_CORE_COMMON_JSON_H_

#include <json/value.h>

#include <string>
#include <string_view>

#include "Core/Common/result.h"

namespace daisyroad {

// Parses strict JSON: no comments, no duplicate keys, nothing after the value.
// The error names the position.
Result<Json::Value> ParseJson(std::string_view text);

// Compact form on one line.
std::string WriteJson(const Json::Value& value);

// Typed member access; a missing or mistyped member is kInvalidArgument and the
// detail names it.
Result<std::string> JsonString(const Json::Value& object,
                               const std::string& name);
Result<std::int64_t> JsonInt(const Json::Value& object,
                             const std::string& name);

}  // namespace daisyroad

#endif  // SOURCE_CORE_COMMON_JSON_H_
