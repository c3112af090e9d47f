#ifndef SOURCE_CORE_COMMON_JSON_H_
#define SOURCE_CORE_COMMON_JSON_H_

#include <json/value.h>

#include <string>
#include <string_view>

#include "Core/Common/result.h"

namespace daisyroad {

// Parses strict JSON: no comments, duplicate keys or text after the value. The
// error is one line with the position.
Result<Json::Value> ParseJson(std::string_view text);

// Returns compact JSON on one line.
std::string WriteJson(const Json::Value& value);

// Return a member of an object. If it is missing or has another type, the error
// is kInvalidArgument and its detail contains the member name.
Result<std::string> JsonString(const Json::Value& object,
                               const std::string& name);
Result<std::int64_t> JsonInt(const Json::Value& object,
                             const std::string& name);

}  // namespace daisyroad

#endif  // SOURCE_CORE_COMMON_JSON_H_
