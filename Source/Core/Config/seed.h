#ifndef SOURCE_CORE_CONFIG_SEED_H_
#define SOURCE_CORE_CONFIG_SEED_H_

#include <string>

#include "Core/Common/identifiers.h"

namespace daisyroad {

// Another entry instance by which an instance finds the others.
struct Seed {
  std::string address;  // "IP:PORT" of its listener for peers
  ZoneName zone;

  bool operator==(const Seed&) const = default;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_CONFIG_SEED_H_
