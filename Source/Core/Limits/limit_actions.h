#ifndef SOURCE_CORE_LIMITS_LIMIT_ACTIONS_H_
#define SOURCE_CORE_LIMITS_LIMIT_ACTIONS_H_

#include <cstdint>
#include <optional>
#include <variant>

#include "Core/Common/identifiers.h"
#include "Core/Limits/limit_record.h"

namespace daisyroad {

// Store request: reads LimitKey(team).
struct ReadLimit {
  TeamName team;
};

// Store request: writes the record if its revision is still `base`; 0 means
// that it must not exist.
struct WriteLimit {
  TeamName team;
  std::uint64_t base = 0;
  LimitRecord record;
  std::uint64_t serial = 0;  // chosen by the writer to match the answer
};

using LimitAction = std::variant<ReadLimit, WriteLimit>;

// A record as read from the store. The revisions of a key only increase; 0
// means that the record does not exist.
struct LimitSnapshot {
  std::uint64_t revision = 0;
  LimitRecord record;
};

enum class WriteOutcome { kWritten, kConflict, kNoAnswer };

// What a peer reports in gossip about one team.
struct PeerDemand {
  std::int64_t want = 0;  // number of running and waiting tasks
  std::int64_t have = 0;  // usable allotment
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_LIMITS_LIMIT_ACTIONS_H_
