#ifndef SOURCE_CORE_LIMITS_LIMIT_ACTIONS_H_
#define SOURCE_CORE_LIMITS_LIMIT_ACTIONS_H_

#include <cstdint>
#include <optional>
#include <variant>

#include "Core/Common/identifiers.h"
#include "Core/Limits/limit_record.h"

namespace daisyroad {

// Store request: read LimitKey(team).
struct ReadLimit {
  TeamName team;
};

// Store request: write if the revision is still `base`; 0 means absent.
struct WriteLimit {
  TeamName team;
  std::uint64_t base = 0;
  LimitRecord record;
  std::uint64_t serial = 0;  // of the writer; identifies the answer
};

using LimitAction = std::variant<ReadLimit, WriteLimit>;

// A record as read. Revisions of a key only grow; 0 means absent.
struct LimitSnapshot {
  std::uint64_t revision = 0;
  LimitRecord record;
};

enum class WriteOutcome { kWritten, kConflict, kNoAnswer };

// What a peer reports in gossip about one team.
struct PeerDemand {
  std::int64_t want = 0;  // running and waiting tasks
  std::int64_t have = 0;  // allotment
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_LIMITS_LIMIT_ACTIONS_H_
