#ifndef SOURCE_CORE_DECLARATION_TABLE_READER_H_
#define SOURCE_CORE_DECLARATION_TABLE_READER_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Core/Common/time.h"
#include "Core/Declaration/fault_list.h"
#include "Core/Declaration/toml_value.h"

namespace daisyroad {

enum class Presence { kRequired, kOptional };

// Reads typed fields of one TOML table. An invalid field adds an error to the
// list and leaves the target unchanged, and reading continues. `table_path`
// names the table in errors, for example "teams[2]"; it is empty for the root.
class TableReader {
 public:
  TableReader(const TomlValue& source,
              std::string table_path,
              FaultList& fault_list);

  void ReadName(const std::string& key, std::string& target);
  void ReadText(const std::string& key, Presence presence, std::string& target);
  void ReadBool(const std::string& key, bool& target);
  void ReadInt(const std::string& key,
               Presence presence,
               std::int64_t low,
               std::int64_t high,
               std::int64_t& target);
  // Also accepts integers; the range is inclusive.
  void ReadReal(const std::string& key,
                double low,
                double high,
                double& target);
  void ReadDuration(const std::string& key,
                    Milliseconds low,
                    Milliseconds high,
                    Milliseconds& target);
  // Returns the index in `choices`, or nullopt if missing or not a choice.
  std::optional<std::size_t> ReadChoice(
      const std::string& key,
      Presence presence,
      const std::vector<std::string>& choices);
  std::vector<std::string> ReadTexts(const std::string& key,
                                     Presence presence,
                                     std::size_t at_least = 0);
  // Returns a reader for each item of an array of tables.
  std::vector<TableReader> ReadTables(const std::string& key);
  std::optional<TableReader> ReadTable(const std::string& key,
                                       Presence presence);

  bool Has(const std::string& key) const;
  std::vector<std::string> Keys() const;
  std::string FieldPath(const std::string& key) const;
  // Adds an error for each field that no call has read.
  void ReportUnknown();

 private:
  const TomlValue* FindField(const std::string& key, Presence presence);

  const TomlValue::Table* table;
  std::string path;
  FaultList* faults;
  std::set<std::string> requested_keys;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_DECLARATION_TABLE_READER_H_
