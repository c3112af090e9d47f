#ifndef SOURCE_CORE_LIMITS_LIMIT_RECORD_H_
#define SOURCE_CORE_LIMITS_LIMIT_RECORD_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "Core/Common/identifiers.h"
#include "Core/Common/result.h"

namespace daisyroad {

// The number of tasks that one entry incarnation may have starting and running.
struct Allotment {
  std::int64_t count = 0;
  // Number of changes this holder has made. Identifies a write whose answer was
  // lost.
  std::uint64_t serial = 0;

  bool operator==(const Allotment&) const = default;
};

// Value of the store record `limits/TEAM`.
struct LimitRecord {
  std::int64_t limit = 0;
  // Configuration version that set the limit. An older version must not replace
  // it.
  std::uint64_t limit_version = 0;
  std::map<EntryName, Allotment> allotments;

  bool operator==(const LimitRecord&) const = default;
};

std::string LimitKey(const TeamName& team);
std::string FormatLimitRecord(const LimitRecord& record);
// Fails with kInvalidArgument if `text` is not a valid record or a number in it
// is negative.
Result<LimitRecord> ParseLimitRecord(std::string_view text);

}  // namespace daisyroad

#endif  // SOURCE_CORE_LIMITS_LIMIT_RECORD_H_
