#ifndef SOURCE_CORE_CLAIMS_CLAIM_RECORD_H_
#define SOURCE_CORE_CLAIMS_CLAIM_RECORD_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "Core/Common/identifiers.h"
#include "Core/Common/result.h"

namespace daisyroad {

// What is known about the execution of a keyed request.
enum class ClaimState { kOpen, kNotRun, kRan, kUnknown };

struct ClaimRecord {
  std::string key;  // the caller's idempotency key
  TaskId task;
  ClaimState state = ClaimState::kOpen;

  bool operator==(const ClaimRecord&) const = default;
};

// Value of one store record `claims/EPOCH/INCARNATION/SEQ`.
struct ClaimBatch {
  EntryName writer;    // tells an own batch from a seal by another instance
  bool seal = false;   // nothing follows
  bool clean = false;  // sealed by the log's owner with nothing left in memory
  std::vector<ClaimRecord> records;

  bool operator==(const ClaimBatch&) const = default;
};

// One log for each entry incarnation and roster epoch.
struct LogName {
  std::uint64_t epoch = 0;
  EntryName incarnation;

  bool operator==(const LogName&) const = default;
  bool operator<(const LogName& other) const {
    return std::tie(this->epoch, this->incarnation) <
           std::tie(other.epoch, other.incarnation);
  }
};

// Store key of a batch; SEQ has 12 digits so that keys sort by SEQ.
std::string ClaimKey(const LogName& log, std::uint64_t seq);

std::string FormatClaimBatch(const ClaimBatch& batch);
// kInvalidArgument if the text is not a batch.
Result<ClaimBatch> ParseClaimBatch(std::string_view text);

}  // namespace daisyroad

#endif  // SOURCE_CORE_CLAIMS_CLAIM_RECORD_H_
