#include "Core/Common/json.h"

#include <json/reader.h>
#include <json/writer.h>

#include <algorithm>
#include <memory>
#include <sstream>

#include "Core/Common/printable.h"

namespace daisyroad {
namespace {

Error InvalidMember(const std::string& name, const char* expected) {
  return Error{Errc::kInvalidArgument, "json.member", "",
               "\"" + name + "\" must be " + expected};
}

// The messages of the library have several lines and repeat parts of the text.
std::string OnOneLine(const std::string& messages) {
  std::string line;
  for (const char c : messages) {
    const bool is_space = c == '\n' || c == ' ';
    if (!is_space) {
      line.push_back(c);
    } else if (!line.empty() && line.back() != ' ') {
      line.push_back(' ');
    }
  }
  return Printable(line.substr(0, line.find_last_not_of(' ') + 1));
}

std::unique_ptr<Json::CharReader> NewReader() {
  Json::CharReaderBuilder builder;
  Json::CharReaderBuilder::strictMode(&builder.settings_);
  builder["strictRoot"] = false;
  builder["stackLimit"] = 64;
  return std::unique_ptr<Json::CharReader>(builder.newCharReader());
}

std::unique_ptr<Json::StreamWriter> NewWriter() {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return std::unique_ptr<Json::StreamWriter>(builder.newStreamWriter());
}

std::string WriteWithLibrary(const Json::Value& value) {
  thread_local const std::unique_ptr<Json::StreamWriter> kWriter = NewWriter();
  std::ostringstream text;
  kWriter->write(value, &text);
  return text.str();
}

// Whether a JSON string contains the text as it is.
bool IsPlainText(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char c) {
    return c >= ' ' && c <= '~' && c != '"' && c != '\\';
  });
}

void AppendString(std::string_view text, std::string* json) {
  if (IsPlainText(text)) {
    json->push_back('"');
    json->append(text);
    json->push_back('"');
  } else {
    json->append(
        WriteWithLibrary(Json::Value(text.data(), text.data() + text.size())));
  }
}

// The writer of the library needs a stream for each text, which takes longer
// than writing a short one.
void AppendJson(const Json::Value& value, std::string* json) {
  switch (value.type()) {
    case Json::intValue:
      json->append(std::to_string(value.asInt64()));
      return;
    case Json::stringValue: {
      const char* begin = nullptr;
      const char* end = nullptr;
      value.getString(&begin, &end);
      AppendString(std::string_view(begin, end - begin), json);
      return;
    }
    case Json::arrayValue: {
      json->push_back('[');
      for (Json::ArrayIndex i = 0; i < value.size(); ++i) {
        if (i > 0) {
          json->push_back(',');
        }
        AppendJson(value[i], json);
      }
      json->push_back(']');
      return;
    }
    case Json::objectValue: {
      json->push_back('{');
      for (Json::Value::const_iterator member = value.begin();
           member != value.end(); ++member) {
        if (member != value.begin()) {
          json->push_back(',');
        }
        AppendString(member.name(), json);
        json->push_back(':');
        AppendJson(*member, json);
      }
      json->push_back('}');
      return;
    }
    default:
      json->append(WriteWithLibrary(value));
  }
}

}  // namespace

Result<Json::Value> ParseJson(std::string_view text) {
  // Reused because creating a reader takes longer than parsing a short text.
  thread_local const std::unique_ptr<Json::CharReader> kReader = NewReader();
  Json::Value value;
  std::string errors;
  try {
    if (kReader->parse(text.data(), text.data() + text.size(), &value,
                       &errors)) {
      return value;
    }
  } catch (const Json::Exception& exception) {
    errors = exception.what();
  }
  return Error{Errc::kInvalidArgument, "json.parse", "", OnOneLine(errors)};
}

std::string WriteJson(const Json::Value& value) {
  std::string text;
  AppendJson(value, &text);
  return text;
}

Result<std::string> JsonString(const Json::Value& object,
                               const std::string& name) {
  if (!object.isObject() || !object[name].isString()) {
    return InvalidMember(name, "a string");
  }
  return object[name].asString();
}

Result<std::int64_t> JsonInt(const Json::Value& object,
                             const std::string& name) {
  if (!object.isObject() || !object[name].isInt64()) {
    return InvalidMember(name, "an integer");
  }
  return object[name].asInt64();
}

}  // namespace daisyroad
