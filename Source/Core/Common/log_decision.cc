#include "Core/Common/log_decision.h"

#include "Core/Common/logging.h"

namespace daisyroad {
namespace {

bool NeedsQuotes(std::string_view value) {
  if (value.empty()) {
    return true;
  }
  for (const char c : value) {
    if (c <= ' ' || c == '"' || c == '=' || c == '\\' || c == 0x7f) {
      return true;
    }
  }
  return false;
}

std::string Quote(std::string_view value) {
  static constexpr char kHexDigits[] = "0123456789abcdef";
  std::string text = "\"";
  for (const char c : value) {
    const unsigned char byte = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\') {
      text.push_back('\\');
      text.push_back(c);
    } else if (byte < 0x20 || byte == 0x7f) {
      text += "\\x";
      text.push_back(kHexDigits[byte >> 4]);
      text.push_back(kHexDigits[byte & 15]);
    } else {
      text.push_back(c);
    }
  }
  text.push_back('"');
  return text;
}

}  // namespace

LogDecision::LogDecision(std::string_view decision) {
  this->Field("decision", decision);
}

LogDecision& LogDecision::Field(std::string_view key, std::string_view value) {
  if (!this->text.empty()) {
    this->text.push_back(' ');
  }
  this->text += key;
  this->text.push_back('=');
  this->text += NeedsQuotes(value) ? Quote(value) : std::string(value);
  return *this;
}

LogDecision& LogDecision::Field(std::string_view key, std::int64_t value) {
  return this->Field(key, std::to_string(value));
}

void LogDecision::Write(const char* channel) const {
  CLOG(INFO, channel) << this->text;
}

}  // namespace daisyroad
