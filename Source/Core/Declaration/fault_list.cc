#include "Core/Declaration/fault_list.h"

#include <algorithm>
#include <tuple>

namespace daisyroad {

void FaultList::Locate(const std::string& field, int line) {
  this->lines[field] = line;
}

void FaultList::Add(const std::string& field, const std::string& problem) {
  std::string located = field;
  while (true) {
    const auto found = this->lines.find(located);
    if (found != this->lines.end()) {
      this->AddAt(found->second, field, problem);
      return;
    }
    const std::size_t end = located.find_last_of(".[");
    if (end == std::string::npos) {
      this->AddAt(located.empty() ? 0 : 1, field, problem);
      return;
    }
    located.resize(end);
  }
}

void FaultList::AddAt(int line,
                      const std::string& field,
                      const std::string& problem) {
  this->faults.push_back({line, field, problem});
}

Error FaultList::ToError(const std::string& step,
                         const std::string& source) const {
  std::vector<Fault> ordered = this->faults;
  std::stable_sort(
      ordered.begin(), ordered.end(), [](const Fault& a, const Fault& b) {
        return std::tie(a.line, a.field) < std::tie(b.line, b.field);
      });
  std::string detail;
  for (const Fault& fault : ordered) {
    detail += detail.empty() ? "" : "\n";
    detail += source;
    detail += fault.line > 0 ? ":" + std::to_string(fault.line) : "";
    detail += fault.field.empty() ? "" : ": " + fault.field;
    detail += ": " + fault.problem;
  }
  return Error{Errc::kInvalidArgument, step, "", detail};
}

}  // namespace daisyroad
