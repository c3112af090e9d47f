#ifndef SOURCE_CORE_DECLARATION_FAULT_LIST_H_
#define SOURCE_CORE_DECLARATION_FAULT_LIST_H_

#include <map>
#include <string>
#include <vector>

#include "Core/Common/error.h"

namespace daisyroad {

// Collects the errors in one input so that all of them are reported together.
class FaultList {
 public:
  // Records the line of `field`, counted from 1.
  void Locate(const std::string& field, int line);
  // Adds an error at the line of `field` or its closest recorded ancestor.
  void Add(const std::string& field, const std::string& problem);
  // Adds an error at a given line; 0 means that the line is unknown.
  void AddAt(int line, const std::string& field, const std::string& problem);

  bool empty() const { return this->faults.empty(); }
  // Returns kInvalidArgument with one line per error, sorted by line and field:
  // "SOURCE:LINE: FIELD: PROBLEM". Line and field are omitted if unknown.
  Error ToError(const std::string& step, const std::string& source) const;

 private:
  struct Fault {
    int line = 0;
    std::string field;
    std::string problem;
  };

  std::map<std::string, int> lines;
  std::vector<Fault> faults;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_DECLARATION_FAULT_LIST_H_
