#ifndef SOURCE_CTL_TEXT_TABLE_H_
#define SOURCE_CTL_TEXT_TABLE_H_

#include <string>
#include <vector>

namespace daisyroad {

// Formats a table with a header line and left-aligned columns that are
// separated by two spaces.
class TextTable {
 public:
  explicit TextTable(std::vector<std::string> header);

  // Missing cells count as empty; an empty cell is printed as "-".
  void AddRow(std::vector<std::string> cells);
  bool empty() const { return this->rows.size() == 1; }
  std::string ToString() const;

 private:
  std::vector<std::vector<std::string>> rows;
};

}  // namespace daisyroad

#endif  // SOURCE_CTL_TEXT_TABLE_H_
