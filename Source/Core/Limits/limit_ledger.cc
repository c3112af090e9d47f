#include "Core/Limits/limit_ledger.h"

#include <algorithm>
#include <utility>

namespace daisyroad {

std::int64_t LimitLedger::Sum(const LimitRecord& record) {
  std::int64_t sum = 0;
  for (const std::pair<const EntryName, Allotment>& item : record.allotments) {
    sum += item.second.count;
  }
  return sum;
}

std::int64_t LimitLedger::Free(const LimitRecord& record) {
  return std::max<std::int64_t>(0, record.limit - Sum(record));
}

std::int64_t LimitLedger::Excess(const LimitRecord& record) {
  return std::max<std::int64_t>(0, Sum(record) - record.limit);
}

std::int64_t LimitLedger::Count(const LimitRecord& record,
                                const EntryName& holder) {
  const std::map<EntryName, Allotment>::const_iterator found =
      record.allotments.find(holder);
  return found == record.allotments.end() ? 0 : found->second.count;
}

std::int64_t LimitLedger::Target(const LimitRecord& record,
                                 const EntryName& holder) {
  const std::int64_t count = Count(record, holder);
  const std::int64_t excess = Excess(record);
  if (excess == 0) {
    return count;
  }
  const std::int64_t sum = Sum(record);
  return count - (excess * count + sum - 1) / sum;
}

std::int64_t LimitLedger::Grant(LimitRecord* record,
                                const EntryName& holder,
                                std::int64_t count) {
  const std::int64_t moved = std::clamp<std::int64_t>(count, 0, Free(*record));
  record->allotments[holder].count += moved;
  return moved;
}

std::int64_t LimitLedger::Transfer(LimitRecord* record,
                                   const EntryName& from,
                                   const EntryName& to,
                                   std::int64_t count) {
  const std::int64_t moved = Return(record, from, count);
  record->allotments[to].count += moved;
  return moved;
}

std::int64_t LimitLedger::Return(LimitRecord* record,
                                 const EntryName& holder,
                                 std::int64_t count) {
  const std::int64_t moved =
      std::clamp<std::int64_t>(count, 0, Count(*record, holder));
  if (moved > 0) {
    record->allotments[holder].count -= moved;
  }
  return moved;
}

std::int64_t LimitLedger::Reclaim(LimitRecord* record,
                                  const EntryName& holder) {
  const std::int64_t moved = Count(*record, holder);
  record->allotments.erase(holder);
  return moved;
}

bool LimitLedger::SetLimit(LimitRecord* record,
                           std::int64_t limit,
                           std::uint64_t version) {
  if (version <= record->limit_version) {
    return false;
  }
  record->limit = limit;
  record->limit_version = version;
  return true;
}

}  // namespace daisyroad
