#ifndef SOURCE_CORE_COMMON_LOG_DECISION_H_
#define SOURCE_CORE_COMMON_LOG_DECISION_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace daisyroad {

// Builder of one structured key=value line for a routing or placement decision.
// Values with spaces, quotes or control characters are quoted and escaped.
class LogDecision {
 public:
  explicit LogDecision(std::string_view decision);

  LogDecision& Field(std::string_view key, std::string_view value);
  LogDecision& Field(std::string_view key, std::int64_t value);

  const std::string& line() const { return this->text; }
  // Writes the line at INFO level to the channel.
  void Write(const char* channel) const;

 private:
  std::string text;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_COMMON_LOG_DECISION_H_
