#ifndef SOURCE_CORE_SITE_TERM_HOLDER_H_
#define SOURCE_CORE_SITE_TERM_HOLDER_H_

#include <cstdint>
#include <string>

namespace daisyroad {

// The process that holds or held a term.
struct TermHolder {
  std::string node;
  std::int64_t incarnation = 0;  // start time of the process

  friend bool operator==(const TermHolder&, const TermHolder&) = default;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_SITE_TERM_HOLDER_H_
