#ifndef SOURCE_CORE_CLAIMS_REGISTRAR_CHOICE_H_
#define SOURCE_CORE_CLAIMS_REGISTRAR_CHOICE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Core/Common/identifiers.h"

namespace daisyroad {

struct ClaimMember {
  EntryName incarnation;
  ZoneName zone;
};

struct ClaimRoster {
  std::uint64_t epoch = 0;
  std::vector<ClaimMember> members;
};

// Rendezvous hashing of the key over the roster. A key `ZONE/...` is hashed
// over the members of that zone if ZONE is a zone of the roster. Empty roster:
// none.
std::optional<EntryName> ChooseRegistrar(const std::string& key,
                                         const ClaimRoster& roster);

}  // namespace daisyroad

#endif  // SOURCE_CORE_CLAIMS_REGISTRAR_CHOICE_H_
