#ifndef SOURCE_CORE_DIAGNOSIS_CONFIGURATION_ADOPTED_H_
#define SOURCE_CORE_DIAGNOSIS_CONFIGURATION_ADOPTED_H_

#include <cstdint>
#include <string>

namespace daisyroad {

enum class ConfigurationEffect {
  kLimit,
  kZoneOut,
  kKeyWithdrawn,
  kQueue,
  kOther
};

// A configuration version took effect. A version with several changes produces
// one observation per change.
struct ConfigurationAdopted {
  std::uint64_t version = 0;
  ConfigurationEffect effect = ConfigurationEffect::kOther;
  std::string subject;  // team, zone, key holder or queue
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_DIAGNOSIS_CONFIGURATION_ADOPTED_H_
