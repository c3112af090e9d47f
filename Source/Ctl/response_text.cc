#include "Ctl/response_text.h"

#include <algorithm>

#include "Core/Common/json.h"
#include "Ctl/text_table.h"

namespace daisyroad {
namespace {

std::string ColumnHeading(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](char c) {
    return c >= 'a' && c <= 'z' ? static_cast<char>(c - 'a' + 'A') : c;
  });
  std::replace(text.begin(), text.end(), '_', ' ');
  return text;
}

}  // namespace

std::string ValueText(const Json::Value& value) {
  if (value.isString()) {
    return value.asString();
  }
  if (value.isBool()) {
    return value.asBool() ? "yes" : "no";
  }
  if (value.isNumeric()) {
    return WriteJson(value);
  }
  std::string joined;
  if (value.isArray()) {
    for (const Json::Value& item : value) {
      joined += (joined.empty() ? "" : " ") + ValueText(item);
    }
  }
  return joined;
}

Json::Value Member(const Json::Value& object, const std::string& name) {
  return object.isObject() ? object[name] : Json::Value();
}

std::string ListText(const Json::Value& list,
                     const std::vector<std::string>& members) {
  std::vector<std::string> header;
  header.reserve(members.size());
  for (const std::string& member : members) {
    header.push_back(ColumnHeading(member));
  }
  TextTable table(header);
  if (list.isArray()) {
    for (const Json::Value& item : list) {
      std::vector<std::string> cells;
      cells.reserve(members.size());
      for (const std::string& member : members) {
        cells.push_back(ValueText(Member(item, member)));
      }
      table.AddRow(cells);
    }
  }
  return table.ToString();
}

std::string FieldsText(const Json::Value& object) {
  std::string text;
  if (!object.isObject()) {
    return text;
  }
  std::size_t width = 0;
  for (const std::string& name : object.getMemberNames()) {
    width = std::max(width, name.size());
  }
  for (const std::string& name : object.getMemberNames()) {
    const std::string value = ValueText(object[name]);
    if (!value.empty()) {
      text.append(name).append(":");
      text.append(width - name.size() + 1, ' ').append(value).append("\n");
    }
  }
  return text;
}

std::string ChangeText(const Json::Value& change) {
  std::string text =
      "version " + ValueText(Member(change, "version")) + " accepted";
  const std::string in_force = ValueText(Member(change, "in_force"));
  const std::string pending = ValueText(Member(change, "pending"));
  if (!in_force.empty()) {
    text += "; in force in: " + in_force;
  }
  if (!pending.empty()) {
    text += "; not confirmed yet in: " + pending;
  }
  return text + "\n";
}

}  // namespace daisyroad
