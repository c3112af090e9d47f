#include "Core/Declaration/table_reader.h"

#include <algorithm>
#include <utility>

#include "Core/Declaration/duration_text.h"

namespace daisyroad {

namespace {

constexpr std::size_t kMaxNameLength = 64;

// Names appear in store keys, log lines and metric labels, so only characters
// that need no escaping there are allowed.
bool IsName(const std::string& text) {
  const auto allowed = [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' ||
           c == '_';
  };
  return !text.empty() && text.size() <= kMaxNameLength &&
         std::all_of(text.begin(), text.end(), allowed);
}

std::string IntRangeProblem(std::int64_t low, std::int64_t high) {
  if (low == 1) {
    return "must be a positive integer of at most " + std::to_string(high);
  }
  return "must be an integer from " + std::to_string(low) + " to " +
         std::to_string(high);
}

std::string FormatReal(double value) {
  std::string text = std::to_string(value);
  text.erase(text.find_last_not_of('0') + 1);
  return text.ends_with('.') ? text.substr(0, text.size() - 1) : text;
}

}  // namespace

TableReader::TableReader(const TomlValue& source,
                         std::string table_path,
                         FaultList& fault_list)
    : table(&std::get<TomlValue::Table>(source.value)),
      path(std::move(table_path)),
      faults(&fault_list) {
  this->faults->Locate(this->path, source.line);
}

std::string TableReader::FieldPath(const std::string& key) const {
  return this->path.empty() ? key : this->path + "." + key;
}

bool TableReader::Has(const std::string& key) const {
  return this->table->contains(key);
}

std::vector<std::string> TableReader::Keys() const {
  std::vector<std::string> keys;
  for (const auto& [key, value] : *this->table) {
    keys.push_back(key);
  }
  return keys;
}

const TomlValue* TableReader::FindField(const std::string& key,
                                        Presence presence) {
  this->requested_keys.insert(key);
  const auto found = this->table->find(key);
  if (found != this->table->end()) {
    this->faults->Locate(this->FieldPath(key), found->second.line);
    return &found->second;
  }
  if (presence == Presence::kRequired) {
    this->faults->Add(this->FieldPath(key), "is missing");
  }
  return nullptr;
}

void TableReader::ReadName(const std::string& key, std::string& target) {
  const TomlValue* value = this->FindField(key, Presence::kRequired);
  if (value == nullptr) {
    return;
  }
  const std::string* text = std::get_if<std::string>(&value->value);
  if (text == nullptr || !IsName(*text)) {
    this->faults->Add(
        this->FieldPath(key),
        "must be a name of 1 to 64 characters from a-z, 0-9, '-' and '_'");
    return;
  }
  target = *text;
}

void TableReader::ReadText(const std::string& key,
                           Presence presence,
                           std::string& target) {
  const TomlValue* value = this->FindField(key, presence);
  if (value == nullptr) {
    return;
  }
  const std::string* text = std::get_if<std::string>(&value->value);
  if (text == nullptr || text->empty()) {
    this->faults->Add(this->FieldPath(key), "must be a non-empty string");
    return;
  }
  target = *text;
}

void TableReader::ReadBool(const std::string& key, bool& target) {
  const TomlValue* value = this->FindField(key, Presence::kOptional);
  if (value == nullptr) {
    return;
  }
  if (const bool* flag = std::get_if<bool>(&value->value)) {
    target = *flag;
    return;
  }
  this->faults->Add(this->FieldPath(key), "must be true or false");
}

void TableReader::ReadInt(const std::string& key,
                          Presence presence,
                          std::int64_t low,
                          std::int64_t high,
                          std::int64_t& target) {
  const TomlValue* value = this->FindField(key, presence);
  if (value == nullptr) {
    return;
  }
  const std::int64_t* number = std::get_if<std::int64_t>(&value->value);
  if (number == nullptr || *number < low || *number > high) {
    this->faults->Add(this->FieldPath(key), IntRangeProblem(low, high));
    return;
  }
  target = *number;
}

void TableReader::ReadReal(const std::string& key,
                           double low,
                           double high,
                           double& target) {
  const TomlValue* value = this->FindField(key, Presence::kOptional);
  if (value == nullptr) {
    return;
  }
  std::optional<double> number;
  if (const double* real = std::get_if<double>(&value->value)) {
    number = *real;
  } else if (const std::int64_t* whole =
                 std::get_if<std::int64_t>(&value->value)) {
    number = static_cast<double>(*whole);
  }
  // Negated so that NaN, which fails every comparison, is rejected.
  if (!number || !(*number >= low && *number <= high)) {
    this->faults->Add(
        this->FieldPath(key),
        "must be a number from " + FormatReal(low) + " to " + FormatReal(high));
    return;
  }
  target = *number;
}

void TableReader::ReadDuration(const std::string& key,
                               Milliseconds low,
                               Milliseconds high,
                               Milliseconds& target) {
  const TomlValue* value = this->FindField(key, Presence::kOptional);
  if (value == nullptr) {
    return;
  }
  const std::string* text = std::get_if<std::string>(&value->value);
  const std::optional<Milliseconds> time =
      text != nullptr ? ParseDuration(*text) : std::nullopt;
  if (!time || *time < low || *time > high) {
    this->faults->Add(this->FieldPath(key),
                      "must be a duration from \"" + FormatDuration(low) +
                          "\" to \"" + FormatDuration(high) + "\"");
    return;
  }
  target = *time;
}

std::optional<std::size_t> TableReader::ReadChoice(
    const std::string& key,
    Presence presence,
    const std::vector<std::string>& choices) {
  const TomlValue* value = this->FindField(key, presence);
  if (value == nullptr) {
    return std::nullopt;
  }
  const std::string* text = std::get_if<std::string>(&value->value);
  std::string allowed;
  for (std::size_t i = 0; i < choices.size(); ++i) {
    if (text != nullptr && *text == choices[i]) {
      return i;
    }
    allowed += (i == 0 ? "\"" : ", \"") + choices[i] + "\"";
  }
  this->faults->Add(this->FieldPath(key), "must be one of " + allowed);
  return std::nullopt;
}

std::vector<std::string> TableReader::ReadTexts(const std::string& key,
                                                Presence presence,
                                                std::size_t at_least) {
  std::vector<std::string> texts;
  const TomlValue* value = this->FindField(key, presence);
  if (value == nullptr) {
    return texts;
  }
  const TomlValue::Array* items = std::get_if<TomlValue::Array>(&value->value);
  if (items == nullptr) {
    this->faults->Add(this->FieldPath(key), "must be a list of strings");
    return texts;
  }
  if (items->size() < at_least) {
    this->faults->Add(this->FieldPath(key), "must not be empty");
  }
  for (std::size_t i = 0; i < items->size(); ++i) {
    const std::string field =
        this->FieldPath(key) + "[" + std::to_string(i) + "]";
    this->faults->Locate(field, (*items)[i].line);
    const std::string* text = std::get_if<std::string>(&(*items)[i].value);
    if (text == nullptr || text->empty()) {
      this->faults->Add(field, "must be a non-empty string");
    }
    // Invalid items are kept so that the indices match those in the file.
    texts.push_back(text != nullptr ? *text : "");
  }
  return texts;
}

std::vector<TableReader> TableReader::ReadTables(const std::string& key) {
  std::vector<TableReader> readers;
  const TomlValue* value = this->FindField(key, Presence::kOptional);
  if (value == nullptr) {
    return readers;
  }
  const TomlValue::Array* items = std::get_if<TomlValue::Array>(&value->value);
  if (items == nullptr ||
      !std::all_of(items->begin(), items->end(), [](const TomlValue& item) {
        return std::holds_alternative<TomlValue::Table>(item.value);
      })) {
    this->faults->Add(this->FieldPath(key), "must be an array of tables");
    return readers;
  }
  for (std::size_t i = 0; i < items->size(); ++i) {
    readers.emplace_back((*items)[i],
                         this->FieldPath(key) + "[" + std::to_string(i) + "]",
                         *this->faults);
  }
  return readers;
}

std::optional<TableReader> TableReader::ReadTable(const std::string& key,
                                                  Presence presence) {
  const TomlValue* value = this->FindField(key, presence);
  if (value == nullptr) {
    return std::nullopt;
  }
  if (!std::holds_alternative<TomlValue::Table>(value->value)) {
    this->faults->Add(this->FieldPath(key), "must be a table");
    return std::nullopt;
  }
  return TableReader(*value, this->FieldPath(key), *this->faults);
}

void TableReader::ReportUnknown() {
  for (const auto& [key, value] : *this->table) {
    if (!this->requested_keys.contains(key)) {
      this->faults->AddAt(value.line, this->FieldPath(key), "unknown field");
    }
  }
}

}  // namespace daisyroad
