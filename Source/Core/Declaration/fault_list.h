#ifndef SOURCE_CORE_DECLARATION_FAULT_LIST_H_
#define SOURCE_CORE_DECLARATION_FAULT_LIST_H_

#include <map>
#include <string>
#include <vector>

#include "Core/Common/error.h"

namespace daisyroad {

// Collects the faults of one text so that all are reported in one go.
class FaultList {
 public:
  // Records the line (from 1) on which `field` stands.
  void Locate(const std::string& field, int line);
  // Adds a fault at the line of `field`, or of its closest located parent.
  void Add(const std::string& field, const std::string& problem);
  // Adds a fault at a known line; line 0 stands for no line.
  void AddAt(int line, const std::string& field, const std::string& problem);

  bool empty() const { return this->faults.empty(); }
  // kInvalidArgument with one line for each fault, ordered by line and field:
  // "SOURCE:LINE: FIELD: PROBLEM". Line and field are left out if unknown.
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
