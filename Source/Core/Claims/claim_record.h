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

// What is known about the execution of a request with an idempotency key.
enum class ClaimState { kOpen, kNotRun, kRan, kUnknown };

struct ClaimRecord {
  std::string key;  // the caller's idempotency key
  TaskId task;
  ClaimState state = ClaimState::kOpen;

  bool operator==(const ClaimRecord&) const = default;
};

// Value of one store record `claims/EPOCH/INCARNATION/SEQ`.
struct ClaimBatch {
  EntryName writer;    // distinguishes an own batch from another's seal
  bool seal = false;   // last batch of the log
  bool clean = false;  // sealed by the owner after all its records
  std::vector<ClaimRecord> records;

  bool operator==(const ClaimBatch&) const = default;
};

// Identifies a claim log. Each entry incarnation has one per roster epoch.
struct LogName {
  std::uint64_t epoch = 0;
  EntryName incarnation;

  bool operator==(const LogName&) const = default;
  bool operator<(const LogName& other) const {
    return std::tie(this->epoch, this->incarnation) <
           std::tie(other.epoch, other.incarnation);
  }
};

// Store key of a batch. SEQ is padded to 12 digits so that keys sort by SEQ.
std::string ClaimKey(const LogName& log, std::uint64_t seq);

std::string FormatClaimBatch(const ClaimBatch& batch);
// Fails with kInvalidArgument if `text` is not a valid batch.
Result<ClaimBatch> ParseClaimBatch(std::string_view text);

}  // namespace daisyroad

#endif  // SOURCE_CORE_CLAIMS_CLAIM_RECORD_H_
