#ifndef SOURCE_CORE_LIMITS_LIMIT_LEDGER_H_
#define SOURCE_CORE_LIMITS_LIMIT_LEDGER_H_

#include <cstdint>

#include "Core/Limits/limit_record.h"

namespace daisyroad {

// Changes to a LimitRecord. No change raises the sum of allotments above the
// limit. After the limit is lowered, the sum can stay above it until tasks end.
class LimitLedger {
 public:
  static std::int64_t Sum(const LimitRecord& record);
  // The part of the limit that is not allotted to any holder.
  static std::int64_t Free(const LimitRecord& record);
  // The amount by which allotments exceed a lowered limit.
  static std::int64_t Excess(const LimitRecord& record);
  static std::int64_t Count(const LimitRecord& record, const EntryName& holder);
  // The count that the holder may keep: its count less its share of the excess.
  static std::int64_t Target(const LimitRecord& record,
                             const EntryName& holder);

  // These clamp `count` to the available amount and return the amount moved.
  static std::int64_t Grant(LimitRecord* record,
                            const EntryName& holder,
                            std::int64_t count);
  static std::int64_t Transfer(LimitRecord* record,
                               const EntryName& from,
                               const EntryName& to,
                               std::int64_t count);
  static std::int64_t Return(LimitRecord* record,
                             const EntryName& holder,
                             std::int64_t count);
  // Removes a holder whose tasks can no longer run.
  static std::int64_t Reclaim(LimitRecord* record, const EntryName& holder);
  // False if the record has this or a later version of the limit.
  static bool SetLimit(LimitRecord* record,
                       std::int64_t limit,
                       std::uint64_t version);
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_LIMITS_LIMIT_LEDGER_H_
