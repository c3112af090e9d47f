#ifndef SOURCE_CORE_CLAIMS_CLAIM_ACTIONS_H_
#define SOURCE_CORE_CLAIMS_CLAIM_ACTIONS_H_

#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "Core/Claims/claim_record.h"

namespace daisyroad {

// Store request: creates the record ClaimKey(log, seq) unless it exists.
struct CreateBatch {
  LogName log;
  std::uint64_t seq = 0;
  ClaimBatch batch;
};

// Store request: reads batches with SEQ >= `from` in order of SEQ. The answer
// is one page, which may not contain all of them.
struct ReadLog {
  LogName log;
  std::uint64_t from = 0;
};

// Store request: deletes the batches with 0 < SEQ < `below`. SEQ 0 is kept:
// otherwise an instance that reads a stale, empty state of the log could create
// its seal at SEQ 0, in front of the existing batches.
struct TrimLog {
  LogName log;
  std::uint64_t below = 0;
};

// The task can be sent to a worker: its claim is in the store or, during an
// agreed store outage, held in memory.
struct ClaimReady {
  std::string key;
  TaskId task;
};

// The claim cannot be written and the task was not sent: the caller is answered
// `not_run`.
struct ClaimRefused {
  std::string key;
  TaskId task;
};

// Records of a ClaimLog that are known to be in the store.
struct RecordsDurable {
  std::vector<ClaimRecord> records;
};

// Records that cannot be written any more because the log is sealed.
struct RecordsLost {
  std::vector<ClaimRecord> records;
};

using LogAction =
    std::variant<CreateBatch, ReadLog, TrimLog, RecordsDurable, RecordsLost>;
using ClaimAction =
    std::variant<CreateBatch, ReadLog, TrimLog, ClaimReady, ClaimRefused>;

enum class CreateOutcome { kCreated, kExists, kNoAnswer };
using LogPage = std::vector<std::pair<std::uint64_t, ClaimBatch>>;

}  // namespace daisyroad

#endif  // SOURCE_CORE_CLAIMS_CLAIM_ACTIONS_H_
