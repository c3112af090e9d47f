#ifndef SOURCE_CTL_RESPONSE_TEXT_H_
#define SOURCE_CTL_RESPONSE_TEXT_H_

#include <json/value.h>

#include <string>
#include <vector>

namespace daisyroad {

// Text of a scalar, names joined by spaces for an array of scalars, and an
// empty string for null or an object.
std::string Text(const Json::Value& value);

// Member of `object`; null if it is absent or `object` is not an object.
Json::Value Member(const Json::Value& object, const std::string& name);

// A table with one row for each object of `list` and one column for each of
// `members`, whose names are the header.
std::string ListText(const Json::Value& list,
                     const std::vector<std::string>& members);

// "name: value" lines for the scalar members of an object.
std::string FieldsText(const Json::Value& object);

// Answer to a change: version and the zones where it is in force.
std::string ChangeText(const Json::Value& change);

}  // namespace daisyroad

#endif  // SOURCE_CTL_RESPONSE_TEXT_H_
