#ifndef SOURCE_CTL_RESPONSE_TEXT_H_
#define SOURCE_CTL_RESPONSE_TEXT_H_

#include <json/value.h>

#include <string>
#include <vector>

namespace daisyroad {

// Returns the text of a scalar, the elements of an array of scalars joined by
// spaces, or an empty string for null or an object.
std::string ValueText(const Json::Value& value);

// Returns a member of `object`, or null if it is absent or `object` is not an
// object.
Json::Value Member(const Json::Value& object, const std::string& name);

// Formats a table with one row for each object of `list` and one column for
// each of `members`. The header holds the member names in upper case.
std::string ListText(const Json::Value& list,
                     const std::vector<std::string>& members);

// Formats the members of an object as "name: value" lines. Leaves out members
// without text, see ValueText().
std::string FieldsText(const Json::Value& object);

// Formats the response to a change: its version, the zones where it is in force
// and the zones that have not confirmed it yet.
std::string ChangeText(const Json::Value& change);

}  // namespace daisyroad

#endif  // SOURCE_CTL_RESPONSE_TEXT_H_
