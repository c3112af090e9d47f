#ifndef SOURCE_CORE_DIAGNOSIS_EXCHANGE_WITNESSES_H_
#define SOURCE_CORE_DIAGNOSIS_EXCHANGE_WITNESSES_H_

#include <map>
#include <vector>

#include "Core/Common/identifiers.h"
#include "Core/Common/time.h"
#include "Core/Diagnosis/observation.h"

namespace daisyroad {

// Tells which entry instances were alive and prompt, by the exchanges between
// instances that were answered in time. A cut path leaves both ends with such
// exchanges; a dead, paused or overloaded instance has none.
class ExchangeWitnesses {
 public:
  // `observations` are sorted by time.
  explicit ExchangeWitnesses(const std::vector<Observation>& observations);

  // Whether the instance took part in a prompt exchange that began at `at` or
  // soon after, with an instance outside the zone.
  bool Prompt(const EntryName& instance,
              MonotonicTime at,
              const ZoneName& except) const;

 private:
  struct Exchange {
    MonotonicTime at;
    ZoneName with;
  };

  std::map<EntryName, std::vector<Exchange>> exchanges;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_DIAGNOSIS_EXCHANGE_WITNESSES_H_
