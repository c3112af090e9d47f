#ifndef SOURCE_CORE_LIMITS_LIMIT_LEDGER_H_
#define SOURCE_CORE_LIMITS_LIMIT_LEDGER_H_

#include <cstdint>

#include "Core/Limits/limit_record.h"

namespace daisyroad {

// Changes of a LimitRecord. None raises the sum of allotments above the limit;
// only a lowered limit can leave it above until tasks end.
class LimitLedger {
 public:
  static std::int64_t Sum(const LimitRecord& record);
  // Part of the limit that is allotted to nobody.
  static std::int64_t Free(const LimitRecord& record);
  // Allotments above a lowered limit.
  static std::int64_t Excess(const LimitRecord& record);
  static std::int64_t Count(const LimitRecord& record, const EntryName& holder);
  // What the holder may keep: its count without its part of the excess.
  static std::int64_t Target(const LimitRecord& record,
                             const EntryName& holder);

  // Each is clipped to what is there and returns what was moved.
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
