#ifndef SOURCE_CORE_CLAIMS_CLAIM_ACTIONS_H_
#define SOURCE_CORE_CLAIMS_CLAIM_ACTIONS_H_

#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "Core/Claims/claim_record.h"

namespace daisyroad {

// Store request: create ClaimKey(log, seq) if it is absent.
struct CreateBatch {
  LogName log;
  std::uint64_t seq = 0;
  ClaimBatch batch;
};

// Store request: read the batches with SEQ >= from, in order, at most a page.
struct ReadLog {
  LogName log;
  std::uint64_t from = 0;
};

// Store request: delete the batches with 0 < SEQ < below. SEQ 0 stays, so that
// a sealer that reads an old empty state cannot create a seal in front.
struct TrimLog {
  LogName log;
  std::uint64_t below = 0;
};

// The claim is durable (or held during an agreed outage): send the task.
struct ClaimReady {
  std::string key;
  TaskId task;
};

// The claim cannot be written and the task was never sent: answer `not_run`.
struct ClaimRefused {
  std::string key;
  TaskId task;
};

// Records of ClaimLog that are in the store.
struct RecordsDurable {
  std::vector<ClaimRecord> records;
};

// Records that will never be in the store because the log is sealed.
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
