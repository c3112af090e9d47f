#include "Ctl/text_table.h"

#include <algorithm>
#include <utility>

namespace daisyroad {
namespace {

// Counts code points: UTF-8 continuation bytes do not occupy a column.
std::size_t ColumnWidth(const std::string& text) {
  return static_cast<std::size_t>(std::count_if(
      text.begin(), text.end(),
      [](char c) { return (static_cast<unsigned char>(c) & 0xC0U) != 0x80U; }));
}

// Control characters in text from the server could move the terminal's cursor
// or split a row.
void ReplaceControlCharacters(std::string* text) {
  std::replace_if(
      text->begin(), text->end(),
      [](char c) { return static_cast<unsigned char>(c) < 0x20 || c == 0x7f; },
      ' ');
}

}  // namespace

TextTable::TextTable(std::vector<std::string> header) {
  this->rows.push_back(std::move(header));
}

void TextTable::AddRow(std::vector<std::string> cells) {
  cells.resize(this->rows.front().size());
  for (std::string& cell : cells) {
    ReplaceControlCharacters(&cell);
    if (cell.empty()) {
      cell.assign(1, '-');
    }
  }
  this->rows.push_back(std::move(cells));
}

std::string TextTable::ToString() const {
  std::vector<std::size_t> widths(this->rows.front().size());
  for (const std::vector<std::string>& row : this->rows) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], ColumnWidth(row[i]));
    }
  }
  std::string text;
  for (const std::vector<std::string>& row : this->rows) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      text += row[i];
      if (i + 1 < row.size()) {
        text.append(widths[i] - ColumnWidth(row[i]) + 2, ' ');
      }
    }
    text += "\n";
  }
  return text;
}

}  // namespace daisyroad
