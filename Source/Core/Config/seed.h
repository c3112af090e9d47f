#ifndef SOURCE_CORE_CONFIG_SEED_H_
#define SOURCE_CORE_CONFIG_SEED_H_

#include <string>

#include "Core/Common/identifiers.h"

namespace daisyroad {

// Known entry instance through which an instance discovers the others.
struct Seed {
  std::string address;  // "IP:PORT" of its peer listener
  ZoneName zone;

  bool operator==(const Seed&) const = default;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_CONFIG_SEED_H_
